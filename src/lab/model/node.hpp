#pragma once

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "agenda.hpp"

namespace arrowstile::lab {

struct NodeSpec {
    unsigned cores = 3;
    double speed = 1;       ///< of one core; work is stated for speed 1
    unsigned waiting = 60;  ///< further jobs are turned away unseen
    double coldShare = 1;   ///< of its capacity at its start, rising evenly
    Duration warmUp{};
    double fallMultiple = 0;  ///< more than so many times what it can do, within any span: it falls over
    Duration fallSpan{};
};

using JobId = Id<struct JobTag, std::uint64_t>;

/// What a node is asked to do.
struct Job {
    JobId id;  ///< of the try
    std::uint64_t call = 0;
    double workMs = 0;
    bool tokened = false;  ///< a repeat of this call within the window is dropped: answered, not run
    Duration window{};
};

enum class Fate : std::uint8_t { answered, errored, turnedAway };

struct Ended {
    JobId id;
    Fate fate{};
    bool ran = false;
    unsigned queue = 0;  ///< load report: jobs that wait
};

/// A worker without I/O: virtual time and sockets drive the same one. The caller offers jobs and asks for
/// what has ended; times must not go back.
class Node {
public:
    Node(const NodeSpec &spec, Timestamp startedAt, std::uint64_t seed)
        : spec_(spec), chance_(seed), startedAt_(startedAt) {}

    /// Turned away at once, or nothing: the end comes from `ended`.
    std::optional<Ended> offer(Timestamp now, const Job &job);
    /// The caller no longer waits: a job that has not begun is not run any more.
    void callOff(JobId id);
    std::optional<Timestamp> next() const;
    std::vector<Ended> ended(Timestamp now);

    void drain() { draining_ = true; }
    /// Dies with all it holds; what ran has run.
    void die();
    void silent(bool on) { silent_ = on; }
    void slower(double times) { slower_ = times; }
    void failing(double share) { failing_ = share; }

    /// Work it can do a millisecond, for whoever may still send to it.
    double able(Timestamp now) const;

    bool alive() const { return alive_; }
    bool fell() const { return fell_; }
    bool draining() const { return draining_; }
    bool isSilent() const { return silent_; }
    bool cold(Timestamp now) const { return now - startedAt_ < spec_.warmUp; }
    Timestamp startedAt() const { return startedAt_; }
    unsigned queue() const { return static_cast<unsigned>(waiting_.size()); }
    /// Largest share of what would push it over that any span has seen.
    double worstPush() const { return worstPush_; }

private:
    struct Running {
        Timestamp until;
        Job job;
        bool fails = false;
    };
    double capacity(Timestamp now) const;
    void begin(Timestamp now, const Job &job);
    void push(Timestamp now, double workMs);

    NodeSpec spec_;
    Chance chance_;
    Timestamp startedAt_{};
    bool alive_ = true, fell_ = false, draining_ = false, silent_ = false;
    double slower_ = 1, failing_ = 0, pushed_ = 0, worstPush_ = 0;
    std::vector<Running> running_;
    std::deque<Job> waiting_;
    std::deque<std::pair<Timestamp, double>> pushes_;       // work that came while cold, within the last span
    std::deque<std::pair<Timestamp, std::uint64_t>> seen_;  // tokened calls, by the end of their window
    std::set<std::uint64_t> tokens_;
};

}  // namespace arrowstile::lab
