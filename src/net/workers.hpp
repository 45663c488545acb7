#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "core/api_call.hpp"
#include "core/discovery_update.hpp"
#include "core/worker_reply.hpp"
#include "stream.hpp"
#include "surroundings.hpp"

namespace arrowstile {

/// The side that faces workers: connections, and on them the upstream tries and probes that are out. Each try
/// ends in one event, whatever becomes of its connection.
class Workers {
public:
    /// Told of a good answer, which goes to the client by itself and ends the API call.
    using Answered = std::function<void(CallId, std::string_view value)>;
    using IsOver = std::function<bool(CallId)>;

    Workers(Surroundings &around, Answered answered, IsOver isOver);
    ~Workers();

    void list(const DiscoveryUpdate &news);
    void send(const SendTry &action, TryNumber number, const ApiCall &call);
    void callOff(CallId call, TryNumber number);
    void probe(WorkerId worker);
    void closeIdle(WorkerId worker);
    void flush();
    void notSent(const SendTry &action, TryNumber number);

private:
    struct Link;
    struct Out;
    struct Pool;

    void put(Pool &pool, WorkerId worker, Out out, std::string command);
    Link *takeIdle(Pool &pool);
    Link *connect(Pool &pool, WorkerId worker);
    void drop(Link &link, Outcome rest);
    void ended(const Out &out, Outcome outcome, const WorkerReply *reply);
    void sweep();
    void closedAfter(Duration idle);

    Surroundings &around_;
    Answered answered_;
    IsOver isOver_;
    std::map<WorkerId, Pool> pools_;
    std::set<Link *> unflushed_;
    std::size_t links_ = 0, begun_ = 0;
    Duration idleMost_;  ///< so long a connection may stand idle before we give it back
};

}  // namespace arrowstile
