/// \file
/// Model of a node, the laboratory's emulated worker, without I/O.
#pragma once

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "event_queue.hpp"

namespace arrowstile::lab {

/// Capacity of a node.
struct NodeSpec {
    unsigned cores = 3;               ///< jobs that run at the same time
    double speed = 1;                 ///< of one core; a job's work is stated for speed 1
    unsigned maxQueueLength = 60;     ///< jobs that may wait for a core; further ones are rejected
    double coldCapacityFraction = 1;  ///< capacity at the start, as a fraction; rises linearly to 1
    Duration warmUp{};                ///< time until the capacity is full
    /// A cold node crashes when the work sent to it within `coldOverloadWindow` exceeds its present capacity
    /// for that time by this factor. 0: it never does.
    double coldOverloadFactor = 0;
    Duration coldOverloadWindow{};
};

using JobId = Id<struct JobTag, std::uint64_t>;

/// An API call as one try brings it to a node.
struct Job {
    JobId id;  ///< of the try
    std::uint64_t call = 0;
    double workMs = 0;       ///< time that it takes on a warm core of speed 1
    bool isTokened = false;  ///< the node recognizes a repeat of the call and answers it without running it
    Duration dedupWindow{};  ///< how long it does so
};

/// How a job ended.
enum class JobOutcome : std::uint8_t {
    answered,
    errored,
    rejected  ///< without effect, because the queue is full or the node is draining
};

/// The end of a job.
struct JobResult {
    JobId id;
    JobOutcome outcome{};
    bool hasRun = false;       ///< it had its effect; false for rejected jobs and recognized repeats
    unsigned queueLength = 0;  ///< load report: jobs that wait for a core
};

/// A worker with a bounded first-in-first-out queue in front of its cores. The caller submits jobs and
/// collects those that have ended. It does no I/O and reads no clock, so that it can be driven by virtual
/// time as well as by real sockets. The times passed in must not decrease.
class Node {
public:
    /// `seed` initializes the random choice of jobs that fail (see setFailureFraction).
    Node(const NodeSpec &spec, Timestamp startedAt, std::uint64_t seed)
        : spec_(spec), random_(seed), startedAt_(startedAt) {}

    /// Submits a job. Returns a result if the job is rejected. Otherwise takeCompleted() returns the result
    /// later, unless the job is cancelled or the node crashes first, possibly under this very job (see
    /// isAlive).
    std::optional<JobResult> submit(Timestamp now, const Job &job);
    /// Removes a job from the queue, because the caller no longer waits for it. A job that runs already goes
    /// on.
    void cancel(JobId id);
    /// Time at which the next job ends, if any runs.
    std::optional<Timestamp> nextCompletion() const;
    /// Returns the jobs that have ended by `now`, in order of time, and starts queued jobs in their place.
    std::vector<JobResult> takeCompleted(Timestamp now);

    /// From now on new jobs are rejected; those accepted earlier run to their end.
    void drain() { isDraining_ = true; }
    /// Stops the node at once. Its queue and its running jobs are lost, without results; jobs that have ended
    /// keep their effect.
    void crash();
    /// Marks the node as silent: reachable, but without replies. The node only stores this flag. The caller
    /// must not submit jobs to a silent node and must drop the results that it collects from one.
    void setSilent(bool isSilent) { isSilent_ = isSilent; }
    /// Multiplies the running time of jobs that start from now on; 1 is normal.
    void setSlowdown(double factor) { slowdown_ = factor; }
    /// Fraction of jobs started from now on that run and then end as errored.
    void setFailureFraction(double fraction) { failureFraction_ = fraction; }

    /// Work that the node can do, in milliseconds of work per millisecond; 0 if it takes no new jobs.
    double availableCapacity(Timestamp now) const;

    bool isAlive() const { return isAlive_; }
    /// Whether it crashed because too much work was sent to it while it was cold.
    bool hasCrashedCold() const { return hasCrashedCold_; }
    bool isDraining() const { return isDraining_; }
    bool isSilent() const { return isSilent_; }
    bool isCold(Timestamp now) const { return now - startedAt_ < spec_.warmUp; }
    Timestamp startedAt() const { return startedAt_; }
    unsigned queueLength() const { return static_cast<unsigned>(queue_.size()); }
    /// Maximum, over all windows while the node was cold, of the work sent to it as a fraction of the amount
    /// above which it crashes.
    double maxColdLoadFraction() const { return maxColdLoadFraction_; }

private:
    struct RunningJob {
        Timestamp endsAt;
        Job job;
        bool willFail = false;
    };
    double capacityFraction(Timestamp now) const;
    void start(Timestamp now, const Job &job);
    void checkColdLoad(Timestamp now, double workMs);

    NodeSpec spec_;
    RandomSource random_;
    Timestamp startedAt_{};
    bool isAlive_ = true;
    bool hasCrashedCold_ = false;
    bool isDraining_ = false;
    bool isSilent_ = false;
    double slowdown_ = 1;
    double failureFraction_ = 0;
    double coldLoadMs_ = 0;  // sum of coldLoad_
    double maxColdLoadFraction_ = 0;
    std::vector<RunningJob> running_;
    std::deque<Job> queue_;
    std::deque<std::pair<Timestamp, double>> coldLoad_;  // arrival and work of jobs within coldOverloadWindow
    std::deque<std::pair<Timestamp, std::uint64_t>> tokenExpiries_;  // end of the dedup window, and the call
    std::set<std::uint64_t> tokenedCalls_;                           // calls whose repeats are not run
};

}  // namespace arrowstile::lab
