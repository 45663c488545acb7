#include "worker_connections.hpp"

#include <algorithm>
#include <deque>
#include <tuple>

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

const char *outcomeName(Outcome outcome) {
    static constexpr const char *names[] = {"answered",  "errored",        "overloaded",
                                            "timed out", "connect failed", "reset",
                                            "cancelled", "not sent",       "local failure"};
    return names[static_cast<std::size_t>(outcome)];
}

}  // namespace

/// A try or a probe that is queued, or whose reply is awaited.
struct WorkerConnections::InFlightRequest {
    WorkerId worker;
    CallId call;          ///< of a try
    TryNumber tryNumber;  ///< of a try
    bool isProbe = false;
    Timestamp queuedAt{};
    Timestamp deadline{};
    bool isWritten = false;       ///< at least to the connection's output buffer
    std::uint64_t endOffset = 0;  ///< once written: in the connection's output, of the byte after the request
    TimerQueue::Key timeoutTimer{};
};

/// A worker and the connections to it.
struct WorkerConnections::ConnectionPool {
    Address address;
    Timestamp startedAt{};
    bool isReady = false;
    bool isGone = false;
    bool hasValidAddress = false;
    unsigned generation = 0;  ///< increased when the worker's process or address changes
    std::vector<std::unique_ptr<Connection>> connections;  ///< the most recently used one is last
};

/// A connection to a worker, with the tries and probes that were sent on it and are not over.
struct WorkerConnections::Connection final : TcpConnection::Handler {
    Connection(WorkerConnections &connections, WorkerId to, unsigned ofGeneration)
        : owner(connections), worker(to), generation(ofGeneration) {}

    ~Connection() {
        owner.incompleteReplyBytes_ -= incompleteReplyBytes;
        owner.context_.timers.cancel(connectTimer);
        for (const InFlightRequest &request : inFlight) owner.context_.timers.cancel(request.timeoutTimer);
        owner.unflushedConnections_.erase(this);
        --owner.connectionCount_;
    }

    void onOpen() override;
    void onOutputSent() override { owner.unflushedConnections_.insert(this); }

    std::size_t onData(std::string_view bytes) override;
    std::size_t closeOnInvalidReply();

    void onClosed(CloseReason reason) override {
        const Timestamp idleUntil = inFlight.empty() ? owner.context_.clock.now() : inFlight.front().queuedAt;
        if (isOpen && idleSince > Timestamp{} && !hasReceivedSinceIdle)
            owner.shortenIdleTimeout(idleUntil - idleSince);
        owner.closeConnection(*this, Outcome::reset, undeliveredOutcome(reason));
    }

    WorkerConnections &owner;
    const WorkerId worker;
    const unsigned generation;  ///< of the pool when the connection was started
    TcpConnection::Ptr tcp;
    std::deque<InFlightRequest> inFlight;  ///< in their order; those that are not written come last
    std::uint64_t writtenBytes = 0;
    std::size_t incompleteReplyBytes = 0;  ///< buffered input that is not a whole reply yet
    Timestamp idleSince{};                 ///< when it opened or the last awaited reply was received
    TimerQueue::Key connectTimer{};
    bool isOpen = false;
    bool hasReceivedSinceIdle = true;  ///< true also until the first reply
};

WorkerConnections::WorkerConnections(ServerContext &context, AnswerCallback onAnswer, FindCall findCall)
    : context_(context),
      onAnswer_(std::move(onAnswer)),
      findCall_(std::move(findCall)),
      idleTimeout_(context.startDocument.settings.workerIdleTimeout / kIdleTimeoutDivisor) {
    context_.timers.schedule(context_.clock.now() + kCleanupInterval, [this] { cleanUp(); });
}

WorkerConnections::~WorkerConnections() { pools_.clear(); }

void WorkerConnections::updateWorkers(const DiscoveryUpdate &update) {
    if (update.isSnapshot) {
        for (auto &[id, pool] : pools_) {
            pool.isReady = false;
            pool.isGone = true;
        }
    }
    for (const DiscoveredWorker &listed : update.workers) {
        ConnectionPool &pool = pools_[listed.entry.worker];
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
        // Idle connections lead to the worker's old process or address.
        const bool hasMoved = pool.startedAt != listed.entry.startedAt || pool.address != address;
        pool.address = address;
        pool.startedAt = listed.entry.startedAt;
        pool.isReady = listed.entry.state == WorkerState::ready;
        pool.isGone = listed.entry.state == WorkerState::gone;
        if (!hasMoved) continue;
        ++pool.generation;
        closeIdleConnections(listed.entry.worker);
    }
    for (auto &[id, pool] : pools_) {
        if (!pool.isReady) closeIdleConnections(id);
    }
}

void WorkerConnections::reportNotSent(const SendTry &action, TryNumber tryNumber) {
    reportEnd({action.worker, action.call, tryNumber, false, context_.clock.now()}, Outcome::notSent,
              nullptr);
}

void WorkerConnections::sendTry(const SendTry &action, TryNumber tryNumber) {
    const auto found = pools_.find(action.worker);
    if (found == pools_.end()) return reportNotSent(action, tryNumber);
    queueRequest(found->second,
                 {action.worker, action.call, tryNumber, false, context_.clock.now(), action.deadline});
}

void WorkerConnections::sendProbe(WorkerId worker) {
    const auto found = pools_.find(worker);
    const Timestamp now = context_.clock.now();
    const Timestamp deadline = now + context_.startDocument.settings.engine.connectTimeout;
    const InFlightRequest request{worker, {}, {}, true, now, deadline};
    if (found == pools_.end()) return reportEnd(request, Outcome::connectFailed, nullptr);
    queueRequest(found->second, request);
}

std::string WorkerConnections::probeCommand() const {
    std::string command;
    const bool isLoadWanted =
        context_.startDocument.settings.engine.loadReportMode == LoadReportMode::byProbe;
    resp::appendArrayHeader(command, isLoadWanted ? 2 : 1);
    resp::appendBulk(command, isLoadWanted ? "INFO" : "PING");
    if (isLoadWanted) resp::appendBulk(command, "load");
    return command;
}

/// Queues a request on a connection of the pool, or reports its end if there is none.
void WorkerConnections::queueRequest(ConnectionPool &pool, const InFlightRequest &request) {
    Outcome failure{};
    Connection *connection = connectionFor(pool, request.worker, failure);
    if (connection == nullptr) return reportEnd(request, failure, nullptr);
    ++context_.metrics.triesSent;
    connection->inFlight.push_back(request);
    scheduleTimeout(*connection, connection->inFlight.back());
    if (connection->isOpen) unflushedConnections_.insert(connection);
}

/// Returns a connection for the next request, or nullptr, and then sets `failure`.
///
/// Each try gets a connection of its own, because a try that is given up closes its connection, and replies
/// on a shared connection wait for each other. Tries share connections only when the maximum number of
/// connections is reached, up to the number of tries per connection that the settings allow.
WorkerConnections::Connection *WorkerConnections::connectionFor(ConnectionPool &pool, WorkerId worker,
                                                                Outcome &failure) {
    if (Connection *idle = takeIdleConnection(pool)) return idle;
    if (connectionCount_ < context_.limits.maxWorkerConnections) {
        CloseReason reason = CloseReason::peerClosed;
        Connection *connecting = pool.hasValidAddress ? connect(pool, worker, reason) : nullptr;
        failure = undeliveredOutcome(reason);
        return connecting;
    }
    const auto leastLoaded = std::ranges::min_element(pool.connections, {}, [this](const auto &candidate) {
        return std::tuple(!isUsable(*candidate), !candidate->isOpen, candidate->inFlight.size());
    });
    failure = Outcome::notSent;
    const std::size_t maxTries = context_.startDocument.settings.maxTriesPerConnection;
    const bool hasRoom = leastLoaded != pool.connections.end() && (*leastLoaded)->inFlight.size() < maxTries;
    return hasRoom ? leastLoaded->get() : nullptr;
}

void WorkerConnections::scheduleTimeout(Connection &connection, InFlightRequest &request) {
    request.timeoutTimer = context_.timers.schedule(
        request.deadline, [this, &connection, call = request.call, tryNumber = request.tryNumber] {
            handleTimeout(connection, call, tryNumber);
        });
}

/// Ends a request that has reached its deadline. Its connection is closed if it was written there.
void WorkerConnections::handleTimeout(Connection &connection, CallId call, TryNumber tryNumber) {
    const auto found = std::ranges::find_if(connection.inFlight, [&](const InFlightRequest &candidate) {
        return candidate.call == call && candidate.tryNumber == tryNumber;
    });
    const auto index = static_cast<std::size_t>(found - connection.inFlight.begin());
    const InFlightRequest timedOut = takeRequest(connection, index);
    if (timedOut.isWritten) closeConnection(connection, Outcome::reset);
    reportEnd(timedOut, timedOut.isWritten ? Outcome::timedOut : Outcome::notSent, nullptr);
}

/// Removes a request from its connection, without reporting its end.
WorkerConnections::InFlightRequest WorkerConnections::takeRequest(Connection &connection, std::size_t index) {
    const auto position = connection.inFlight.begin() + static_cast<std::ptrdiff_t>(index);
    const InFlightRequest taken = *position;
    connection.inFlight.erase(position);
    context_.timers.cancel(taken.timeoutTimer);
    return taken;
}

/// Writes the requests that are queued on an open connection, as described at flush().
void WorkerConnections::writeQueuedRequests(Connection &connection) {
    std::size_t index = 0;
    while (index < connection.inFlight.size() && connection.tcp->unsentBytes() == 0) {
        InFlightRequest &request = connection.inFlight[index];
        if (request.isWritten) {
            ++index;
            continue;
        }
        const std::string command = commandOf(connection, request);
        if (command.empty()) {
            reportEnd(takeRequest(connection, index), Outcome::notSent, nullptr);
            continue;
        }
        connection.tcp->write(command);
        connection.writtenBytes += command.size();
        request.endOffset = connection.writtenBytes;
        request.isWritten = true;
        connection.tcp->flush();
    }
    if (connection.inFlight.empty() && !isUsable(connection)) closeConnection(connection, Outcome::reset);
}

/// Whether a connection may take further requests: its worker is ready and has the process and the address
/// that the connection leads to.
bool WorkerConnections::isUsable(const Connection &connection) const {
    const ConnectionPool &pool = pools_.at(connection.worker);
    return pool.isReady && connection.generation == pool.generation;
}

/// The command of a request that is to be written now; empty if it may not be written any more.
std::string WorkerConnections::commandOf(const Connection &connection, const InFlightRequest &request) const {
    if (!isUsable(connection)) return {};
    if (request.isProbe) return probeCommand();
    const ApiCall *call = findCall_(request.call);
    const Duration timeLeft = request.deadline - context_.clock.now();
    std::string command;
    if (call != nullptr && timeLeft > Duration{}) call->appendCommand(command, timeLeft);
    return command;
}

/// Returns the most recently used idle connection that is fit for use, or nullptr. Closes idle connections
/// that it finds expired, closed by the worker or with unread input: input on an idle connection belongs to
/// no request and would be taken for the reply to the next one.
WorkerConnections::Connection *WorkerConnections::takeIdleConnection(ConnectionPool &pool) {
    for (auto index = pool.connections.size(); index > 0; --index) {
        const auto candidate = pool.connections.begin() + static_cast<std::ptrdiff_t>(index) - 1;
        if (!(*candidate)->isOpen || !(*candidate)->inFlight.empty()) continue;
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
    connection->tcp = TcpConnection::connect(context_.loop, pool.address, connection, failure);
    if (!connection->tcp) return nullptr;
    ++context_.metrics.workerConnections;
    connection->connectTimer = context_.timers.schedule(
        context_.clock.now() + context_.startDocument.settings.engine.connectTimeout,
        [this, connection] { closeConnection(*connection, Outcome::connectFailed); });
    pool.connections.push_back(std::move(created));
    return connection;
}

/// Closes a connection and reports the end of all requests in flight on it: as `outcome` if the whole request
/// was handed to the system, and otherwise as `undelivered`, because then the worker can't have run it.
/// Connections with requests in flight are closed only here, so that the end of each request is reported.
void WorkerConnections::closeConnection(Connection &connection, Outcome outcome, Outcome undelivered) {
    auto &connections = pools_.at(connection.worker).connections;
    const auto found = std::ranges::find_if(
        connections, [&](const auto &candidate) { return candidate.get() == &connection; });
    const auto closing = std::move(*found);
    connections.erase(found);
    for (const InFlightRequest &request : closing->inFlight) {
        const bool wasSent =
            request.isWritten && closing->isOpen && closing->tcp->sentBytes() >= request.endOffset;
        reportEnd(request, wasSent ? outcome : undelivered, nullptr);
    }
}

void WorkerConnections::Connection::onOpen() {
    owner.context_.timers.cancel(connectTimer);
    isOpen = true;
    idleSince = owner.context_.clock.now();
    owner.unflushedConnections_.insert(this);
}

std::size_t WorkerConnections::Connection::onData(std::string_view bytes) {
    std::size_t consumedBytes = 0;
    resp::Reply reply;
    hasReceivedSinceIdle = true;
    while (consumedBytes < bytes.size()) {
        const auto rest = bytes.substr(consumedBytes);
        const auto maxValueBytes = owner.context_.limits.maxReplyValueBytes;
        const auto parsed = inFlight.empty() || !inFlight.front().isWritten ||
                                    !(inFlight.front().isProbe || mayBecomeCallReply(rest, maxValueBytes))
                                ? resp::ParseResult::malformed
                                : resp::parseReply(rest, reply, maxValueBytes);
        if (parsed == resp::ParseResult::incomplete) break;
        if (parsed == resp::ParseResult::malformed) return closeOnInvalidReply();
        consumedBytes += reply.consumedBytes;
        const InFlightRequest request = inFlight.front();
        inFlight.pop_front();
        owner.context_.timers.cancel(request.timeoutTimer);
        WorkerReply workerReply = parseWorkerReply(reply, owner.context_.startDocument.settings);
        if (request.isProbe) {
            const bool isLoadReport = reply.kind == resp::Reply::Kind::bulk;
            if (isLoadReport)
                workerReply.load = parseLoadReport(reply.text, owner.context_.startDocument.settings);
            if (isLoadReport || reply.kind == resp::Reply::Kind::status)
                workerReply.outcome = Outcome::answered;
        }
        if (workerReply.isUnexpected && !request.isProbe) {
            inFlight.push_front(request);
            return closeOnInvalidReply();
        }
        if (workerReply.isSyntaxError)
            owner.context_.log.error("a worker could not read a command: ", reply.text);
        owner.reportEnd(request, workerReply.outcome, &workerReply);
    }
    if (inFlight.empty()) {
        idleSince = owner.context_.clock.now();
        hasReceivedSinceIdle = false;
        if (!owner.isUsable(*this)) {
            owner.closeConnection(*this, Outcome::reset);
            return 0;
        }
    }
    owner.incompleteReplyBytes_ += bytes.size() - consumedBytes - incompleteReplyBytes;
    incompleteReplyBytes = bytes.size() - consumedBytes;
    return consumedBytes;
}

/// Closes the connection, because its input can no longer be matched to requests. Returns the number of bytes
/// consumed. Tries on it may have run; they count as errored, since the close says little about the worker.
std::size_t WorkerConnections::Connection::closeOnInvalidReply() {
    if (!inFlight.empty()) ++owner.context_.metrics.invalidReplies;
    owner.closeConnection(*this, Outcome::errored);
    return 0;
}

/// Counts the end of a request, adds the event that reports it and delivers the value of a successful try.
/// `reply` is nullptr if there was none.
void WorkerConnections::reportEnd(const InFlightRequest &request, Outcome outcome, const WorkerReply *reply) {
    Metrics &metrics = context_.metrics;
    switch (outcome) {
        case Outcome::answered: ++metrics.triesAnswered; break;
        case Outcome::errored: ++metrics.triesErrored; break;
        case Outcome::overloaded: ++metrics.triesOverloaded; break;
        case Outcome::timedOut: ++metrics.triesTimedOut; break;
        case Outcome::connectFailed: ++metrics.triesConnectFailed; break;
        case Outcome::reset: ++metrics.triesReset; break;
        case Outcome::cancelled: ++metrics.triesCancelled; break;
        case Outcome::notSent: ++metrics.triesNotSent; break;
        case Outcome::localFailure: ++metrics.triesFailedLocally; break;
    }
    const Duration latency = context_.clock.now() - request.queuedAt;
    const std::vector<double> load = reply != nullptr ? reply->load : std::vector<double>{};
    if (request.isProbe) {
        context_.pendingEvents.emplace_back(ProbeEnded{request.worker, outcome, latency, load});
        return;
    }
    if (outcome != Outcome::answered) {
        const auto pool = pools_.find(request.worker);
        const Address address = pool == pools_.end() ? Address{} : pool->second.address;
        context_.log.debug("try at ", address.host, ":", address.port, " ended: ", outcomeName(outcome),
                           " after ", latency.count() / 1000, " ms");
    }
    TryEnded event{request.call, request.tryNumber, request.worker, outcome, latency, false, {}, {}, load};
    if (outcome == Outcome::answered) {
        event.rateUsedFraction = reply->rateUsedFraction;
        event.actualUnits = reply->actualUnits;
        onAnswer_(request.call, reply->value);
        event.isCallClosed = true;
    } else {
        event.isCallClosed = findCall_(request.call) == nullptr;
    }
    context_.pendingEvents.emplace_back(std::move(event));
}

void WorkerConnections::cancelTry(CallId call, TryNumber tryNumber) {
    for (auto &[id, pool] : pools_) {
        for (const auto &connection : pool.connections) {
            const auto found =
                std::ranges::find_if(connection->inFlight, [&](const InFlightRequest &candidate) {
                    return !candidate.isProbe && candidate.call == call && candidate.tryNumber == tryNumber;
                });
            if (found == connection->inFlight.end()) continue;
            const auto index = static_cast<std::size_t>(found - connection->inFlight.begin());
            const InFlightRequest cancelled = takeRequest(*connection, index);
            if (cancelled.isWritten) closeConnection(*connection, Outcome::reset);
            return reportEnd(cancelled, Outcome::cancelled, nullptr);
        }
    }
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
                  [](const auto &connection) { return connection->isOpen && connection->inFlight.empty(); });
}

/// Closes connections until the incomplete replies fit into the memory. The longest one is given up first, so
/// that the others can be completed.
void WorkerConnections::dropExcessiveReplies() {
    while (incompleteReplyBytes_ > context_.limits.maxBufferedBytesPerKind) {
        Connection *longest = nullptr;
        for (auto &[id, pool] : pools_)
            for (auto &connection : pool.connections)
                if (longest == nullptr || connection->incompleteReplyBytes > longest->incompleteReplyBytes)
                    longest = connection.get();
        longest->closeOnInvalidReply();
    }
}

void WorkerConnections::flush(bool mayWrite) {
    dropExcessiveReplies();
    while (mayWrite && !unflushedConnections_.empty())
        writeQueuedRequests(*unflushedConnections_.extract(unflushedConnections_.begin()).value());
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
            return connection->isOpen && connection->inFlight.empty() &&
                   now - connection->idleSince > idleTimeout;
        });
    }
    std::erase_if(pools_,
                  [](const auto &entry) { return entry.second.isGone && entry.second.connections.empty(); });
}

}  // namespace arrowstile
