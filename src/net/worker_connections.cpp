#include "worker_connections.hpp"

#include <algorithm>

#include "worker_connection.hpp"

namespace arrowstile {
namespace {

using std::chrono::milliseconds;

constexpr Duration kCleanupInterval = milliseconds(500);
/// This gateway closes an idle connection after 1/2 of the time after which the worker's machine would. The
/// machine may close it earlier than the settings say, and of a try that crosses that close it is unknown
/// whether it ran.
constexpr int kIdleTimeoutDivisor = 2;
/// A worker's machine may use a shorter timeout for a time. Once an earlier close is observed, this gateway's
/// timeout is reduced to 1/2 of the shortest idle time seen; it then grows by 1/100 per cleanup up to the
/// usual value.
constexpr int kIdleTimeoutGrowthDivisor = 100;
/// A close after a shorter idle time is not taken for an idle timeout: workers close some connections after a
/// reply.
constexpr Duration kMinObservedIdle = milliseconds(20);

}  // namespace

WorkerConnections::WorkerConnections(ServerContext &context, CallDirectory &calls)
    : context_(context),
      calls_(calls),
      idleTimeout_(context.startDocument.settings.workerIdleTimeout / kIdleTimeoutDivisor) {
    context_.timers.schedule(context_.clock.now() + kCleanupInterval, [this] { cleanUp(); });
}

WorkerConnections::~WorkerConnections() { pools_.clear(); }

void WorkerConnections::updateWorkers(const DiscoveryUpdate &update) {
    std::set<WorkerId> listedWorkers;
    for (const DiscoveredWorker &listed : update.workers) {
        listedWorkers.insert(listed.entry.worker);
        updatePool(pools_[listed.entry.worker], listed);
    }
    for (auto &[id, pool] : pools_) {
        if (update.isSnapshot && !listedWorkers.contains(id)) {
            pool.entry.state = WorkerState::gone;
        }
        if (!pool.isReady()) closeIdleConnections(id);
    }
}

void WorkerConnections::updatePool(ConnectionPool &pool, const DiscoveredWorker &listed) {
    Address address = pool.address;
    if (!listed.address.empty()) {
        try {
            address = parseAddress(listed.address, "address of a worker");
            pool.hasValidAddress = true;
        } catch (const ConfigError &error) {
            context_.log.warning(error.what());
            pool.hasValidAddress = false;
        }
    }
    const bool hasReturned = pool.isGone() && listed.entry.state != WorkerState::gone;
    // Connections that are open lead to the worker's old process or address.
    const bool hasMoved =
        hasReturned || pool.entry.startedAt != listed.entry.startedAt || pool.address != address;
    pool.address = address;
    pool.entry = listed.entry;
    if (!hasMoved) return;
    ++pool.generation;
    closeIdleConnections(listed.entry.worker);
}

/// Returns a connection without a request for the next one, or nullptr, and then sets `failure`. At the limit
/// on connections, an idle connection to another worker is closed for the new one.
WorkerConnections::Connection *WorkerConnections::connectionFor(ConnectionPool &pool, WorkerId worker,
                                                                Outcome &failure) {
    if (Connection *idle = takeIdleConnection(pool)) return idle;
    const bool hasRoom =
        connectionCount_ < context_.limits.maxWorkerConnections || closeLongestIdleConnection();
    failure = Outcome::notSent;
    if (!hasRoom) return nullptr;
    CloseReason reason = CloseReason::peerClosed;
    Connection *connecting = pool.hasValidAddress ? connect(pool, worker, reason) : nullptr;
    failure = undeliveredOutcome(reason);
    return connecting;
}

/// Closes the connection without a request that was used least recently, to whatever worker. Returns false if
/// there is none.
bool WorkerConnections::closeLongestIdleConnection() {
    Connection *longestIdle = nullptr;
    for (const auto &[id, pool] : pools_) {
        for (const auto &candidate : pool.connections) {
            if (candidate->inFlight) continue;
            if (longestIdle == nullptr || candidate->idleSince < longestIdle->idleSince)
                longestIdle = candidate.get();
        }
    }
    if (longestIdle == nullptr) return false;
    closeConnection(*longestIdle, Outcome::reset);
    return true;
}

/// Returns the most recently used idle connection that is fit for use, or nullptr. Closes idle connections
/// that it finds expired, closed by the worker or with unread input: input on an idle connection belongs to
/// no request and would be taken for the reply to the next one.
WorkerConnections::Connection *WorkerConnections::takeIdleConnection(ConnectionPool &pool) {
    for (auto index = pool.connections.size(); index > 0; --index) {
        const auto candidate = pool.connections.begin() + static_cast<std::ptrdiff_t>(index) - 1;
        if (!(*candidate)->isOpen || (*candidate)->inFlight) continue;
        if ((*candidate)->tcp->hasUnreadInput() ||
            context_.clock.now() - (*candidate)->idleSince > idleTimeout_) {
            pool.connections.erase(candidate);
            continue;
        }
        std::rotate(candidate, candidate + 1, pool.connections.end());
        return pool.connections.back().get();
    }
    return nullptr;
}

/// Starts to connect to a worker. Returns nullptr if that fails at once, and then sets `failure`.
WorkerConnections::Connection *WorkerConnections::connect(ConnectionPool &pool, WorkerId worker,
                                                          CloseReason &failure) {
    auto created = std::make_unique<Connection>(*this, worker, pool.generation);
    Connection *connection = created.get();
    ++connectionCount_;
    connection->tcp = TcpConnection::connect(context_.loop, pool.address, connection, failure,
                                             context_.limits.workerReceiveBufferBytes);
    if (!connection->tcp) return nullptr;
    ++context_.metrics.workerConnections;
    connection->connectTimer = context_.timers.schedule(
        context_.clock.now() + context_.startDocument.settings.engine.connectTimeout,
        [this, connection] { closeConnection(*connection, Outcome::connectFailed); });
    pool.connections.push_back(std::move(created));
    return connection;
}

/// Closes a connection and reports the end of the request on it: as `outcome` if the whole request was handed
/// to the system, and otherwise as `undelivered`, because then the worker can't have run it. Connections with
/// a request are closed only here, so that the end of each request is reported. Bytes that the worker's
/// machine has not taken are dropped, or it would get them after the close.
void WorkerConnections::closeConnection(Connection &connection, Outcome outcome, Outcome undelivered) {
    auto &connections = pools_.at(connection.worker).connections;
    const auto found = std::ranges::find_if(
        connections, [&](const auto &candidate) { return candidate.get() == &connection; });
    const auto closing = std::move(*found);
    connections.erase(found);
    if (!closing->isOpen || !closing->isTaken()) closing->tcp->resetOnClose();
    if (!closing->inFlight) return;
    const bool wasSent =
        closing->inFlight->isWritten && closing->isOpen && closing->tcp->sentBytes() >= closing->writtenBytes;
    reportEnd(*closing->inFlight, wasSent ? outcome : undelivered, nullptr);
}

/// Called when a worker's machine closed a connection that had been idle for `observedIdle`.
void WorkerConnections::shortenIdleTimeout(Duration observedIdle) {
    if (observedIdle >= kMinObservedIdle)
        idleTimeout_ = std::min(idleTimeout_, observedIdle / kIdleTimeoutDivisor);
}

void WorkerConnections::closeIdleConnections(WorkerId worker) {
    const auto found = pools_.find(worker);
    if (found == pools_.end()) return;
    std::erase_if(found->second.connections,
                  [](const auto &connection) { return connection->isOpen && !connection->inFlight; });
}

/// Closes connections until the incomplete replies fit into the memory. The longest one is given up first, so
/// that the others can be completed.
void WorkerConnections::dropExcessiveReplies() {
    while (incompleteReplyBytes_ > context_.limits.maxIncompleteReplyBytes) {
        Connection *longest = nullptr;
        for (auto &[id, pool] : pools_)
            for (auto &connection : pool.connections)
                if (longest == nullptr || connection->incompleteReplyBytes > longest->incompleteReplyBytes)
                    longest = connection.get();
        longest->closeOnInvalidReply();
    }
}

/// Runs periodically: closes connections that were idle for too long, lets the idle timeout grow again and
/// removes workers that are gone and have no connections left.
void WorkerConnections::cleanUp() {
    const Timestamp now = context_.clock.now();
    const Duration idleTimeout = idleTimeout_;
    idleTimeout_ = std::min(context_.startDocument.settings.workerIdleTimeout / kIdleTimeoutDivisor,
                            idleTimeout_ + idleTimeout_ / kIdleTimeoutGrowthDivisor);
    context_.timers.schedule(now + kCleanupInterval, [this] { cleanUp(); });
    for (auto &[id, pool] : pools_) {
        if (idleTimeout <= Duration{}) break;
        std::erase_if(pool.connections, [&](const auto &connection) {
            return connection->isOpen && !connection->inFlight && now - connection->idleSince > idleTimeout;
        });
    }
    std::erase_if(
        pools_, [](const auto &entry) { return entry.second.isGone() && entry.second.connections.empty(); });
}

}  // namespace arrowstile
