#include "worker_connections.hpp"

#include <algorithm>
#include <optional>

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
    bool isWritten = false;  ///< at least to the connection's output buffer
    TimerQueue::Key timeoutTimer{};
};

/// A worker and the connections to it.
struct WorkerConnections::ConnectionPool {
    Address address;
    Timestamp startedAt{};
    bool isReady = false;
    bool isGone = false;
    bool hasValidAddress = false;
    unsigned generation = 0;  ///< increased when the worker's process or address changes, or it comes back
    std::vector<std::unique_ptr<Connection>> connections;  ///< the most recently used one is last
};

/// A connection to a worker, with the try or probe on it that is not over.
struct WorkerConnections::Connection final : TcpConnection::Handler {
    Connection(WorkerConnections &connections, WorkerId to, unsigned ofGeneration)
        : owner(connections), worker(to), generation(ofGeneration) {}

    ~Connection() {
        owner.incompleteReplyBytes_ -= incompleteReplyBytes;
        owner.context_.timers.cancel(connectTimer);
        if (inFlight) owner.context_.timers.cancel(inFlight->timeoutTimer);
        owner.unflushedConnections_.erase(this);
        --owner.connectionCount_;
    }

    void onOpen() override;
    std::size_t onData(std::string_view bytes) override;
    bool handleReply(const resp::Reply &reply);
    std::size_t closeOnInvalidReply();

    void onClosed(CloseReason reason) override {
        const Timestamp idleUntil = inFlight ? inFlight->queuedAt : owner.context_.clock.now();
        if (isOpen && idleSince > Timestamp{} && !hasReceivedSinceIdle)
            owner.shortenIdleTimeout(idleUntil - idleSince);
        owner.closeConnection(*this, Outcome::reset, undeliveredOutcome(reason));
    }

    WorkerConnections &owner;
    const WorkerId worker;
    const unsigned generation;  ///< of the pool when the connection was started
    TcpConnection::Ptr tcp;
    std::optional<InFlightRequest> inFlight;
    std::uint64_t writtenBytes = 0;        ///< of all requests so far
    std::size_t incompleteReplyBytes = 0;  ///< buffered input that is not a whole reply yet
    Timestamp idleSince{};                 ///< when it opened or the last awaited reply was received
    TimerQueue::Key connectTimer{};
    bool isOpen = false;
    bool hasReceivedSinceIdle = true;  ///< true also until the first reply
};

WorkerConnections::WorkerConnections(ServerContext &context, AnswerCallback onAnswer, FindCall findCall,
                                     FindCall findCallToSend)
    : context_(context),
      onAnswer_(std::move(onAnswer)),
      findCall_(std::move(findCall)),
      findCallToSend_(std::move(findCallToSend)),
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
            pool.isReady = false;
            pool.isGone = true;
        }
        if (!pool.isReady) closeIdleConnections(id);
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
    const bool isGone = listed.entry.state == WorkerState::gone;
    const bool hasReturned = pool.isGone && !isGone;
    // Connections that are open lead to the worker's old process or address.
    const bool hasMoved = hasReturned || pool.startedAt != listed.entry.startedAt || pool.address != address;
    pool.address = address;
    pool.startedAt = listed.entry.startedAt;
    pool.isReady = listed.entry.state == WorkerState::ready;
    pool.isGone = isGone;
    if (!hasMoved) return;
    ++pool.generation;
    closeIdleConnections(listed.entry.worker);
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
    connection->inFlight = request;
    scheduleTimeout(*connection);
    if (connection->isOpen) unflushedConnections_.insert(connection);
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

void WorkerConnections::scheduleTimeout(Connection &connection) {
    connection.inFlight->timeoutTimer = context_.timers.schedule(
        connection.inFlight->deadline, [this, &connection] { handleTimeout(connection); });
}

/// Ends a request that has reached its deadline. Its connection is closed if it was written there.
void WorkerConnections::handleTimeout(Connection &connection) {
    const InFlightRequest timedOut = takeRequest(connection);
    if (timedOut.isWritten) closeConnection(connection, Outcome::reset);
    reportEnd(timedOut, timedOut.isWritten ? Outcome::timedOut : Outcome::notSent, nullptr);
}

/// Removes the request from its connection, without reporting its end.
WorkerConnections::InFlightRequest WorkerConnections::takeRequest(Connection &connection) {
    const InFlightRequest taken = *std::exchange(connection.inFlight, std::nullopt);
    context_.timers.cancel(taken.timeoutTimer);
    return taken;
}

/// Writes the request that is queued on an open connection, if any, as described at flush().
void WorkerConnections::writeQueuedRequest(Connection &connection) {
    if (connection.inFlight && !connection.inFlight->isWritten) {
        const std::string command = commandOf(connection, *connection.inFlight);
        if (command.empty()) {
            reportEnd(takeRequest(connection), Outcome::notSent, nullptr);
        } else {
            connection.inFlight->isWritten = true;
            connection.writtenBytes += command.size();
            connection.tcp->write(command);
            connection.tcp->flush();
        }
    }
    if (!connection.inFlight && !isUsable(connection)) closeConnection(connection, Outcome::reset);
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
    const Duration timeLeft = request.deadline - context_.clock.now();
    if (timeLeft <= Duration{}) return {};
    std::string command;
    if (const ApiCall *call = findCallToSend_(request.call)) call->appendCommand(command, timeLeft);
    return command;
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
    connection->tcp = TcpConnection::connect(context_.loop, pool.address, connection, failure);
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
/// a request are closed only here, so that the end of each request is reported.
void WorkerConnections::closeConnection(Connection &connection, Outcome outcome, Outcome undelivered) {
    auto &connections = pools_.at(connection.worker).connections;
    const auto found = std::ranges::find_if(
        connections, [&](const auto &candidate) { return candidate.get() == &connection; });
    const auto closing = std::move(*found);
    connections.erase(found);
    if (!closing->inFlight) return;
    const bool wasSent =
        closing->inFlight->isWritten && closing->isOpen && closing->tcp->sentBytes() >= closing->writtenBytes;
    reportEnd(*closing->inFlight, wasSent ? outcome : undelivered, nullptr);
}

void WorkerConnections::Connection::onOpen() {
    owner.context_.timers.cancel(connectTimer);
    isOpen = true;
    idleSince = owner.context_.clock.now();
    owner.unflushedConnections_.insert(this);
}

std::size_t WorkerConnections::Connection::onData(std::string_view bytes) {
    const std::size_t maxValueBytes = owner.context_.limits.maxReplyValueBytes;
    hasReceivedSinceIdle = true;
    // Input without a request belongs to no request, or to an earlier one.
    if (!inFlight || !inFlight->isWritten) return closeOnInvalidReply();
    if (!inFlight->isProbe && !mayBecomeCallReply(bytes, maxValueBytes)) return closeOnInvalidReply();
    resp::Reply reply;
    const resp::ParseResult parsed = resp::parseReply(bytes, reply, maxValueBytes);
    if (parsed == resp::ParseResult::malformed) return closeOnInvalidReply();
    if (parsed == resp::ParseResult::incomplete) {
        owner.incompleteReplyBytes_ += bytes.size() - std::exchange(incompleteReplyBytes, bytes.size());
        return 0;
    }
    if (!handleReply(reply)) return closeOnInvalidReply();
    owner.incompleteReplyBytes_ -= std::exchange(incompleteReplyBytes, 0);
    idleSince = owner.context_.clock.now();
    hasReceivedSinceIdle = false;
    const bool hasSurplus = reply.consumedBytes < bytes.size();
    if (!hasSurplus && owner.isUsable(*this)) return bytes.size();
    owner.closeConnection(*this, Outcome::reset);
    return 0;
}

/// Ends the request with its reply. Returns false without effect if it can't be the reply to an API call.
bool WorkerConnections::Connection::handleReply(const resp::Reply &reply) {
    const Settings &settings = owner.context_.startDocument.settings;
    WorkerReply workerReply = parseWorkerReply(reply, settings);
    if (inFlight->isProbe) {
        const bool isLoadReport = reply.kind == resp::Reply::Kind::bulk;
        if (isLoadReport) workerReply.load = parseLoadReport(reply.text, settings);
        if (isLoadReport || reply.kind == resp::Reply::Kind::status) workerReply.outcome = Outcome::answered;
    } else if (workerReply.isUnexpected) {
        return false;
    }
    if (workerReply.isSyntaxError)
        owner.context_.log.error("a worker could not read a command: ", reply.text);
    const InFlightRequest ended = owner.takeRequest(*this);
    owner.reportEnd(ended, workerReply.outcome, &workerReply);
    return true;
}

/// Closes the connection, because its input can't be matched to a request. Returns the number of bytes
/// consumed. A try on it may have run; it counts as errored, since the close says little about the worker.
std::size_t WorkerConnections::Connection::closeOnInvalidReply() {
    if (inFlight) ++owner.context_.metrics.invalidReplies;
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
            const auto &request = connection->inFlight;
            if (!request || request->isProbe || request->call != call || request->tryNumber != tryNumber)
                continue;
            const InFlightRequest cancelled = takeRequest(*connection);
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
                  [](const auto &connection) { return connection->isOpen && !connection->inFlight; });
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
        writeQueuedRequest(*unflushedConnections_.extract(unflushedConnections_.begin()).value());
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
    std::erase_if(pools_,
                  [](const auto &entry) { return entry.second.isGone && entry.second.connections.empty(); });
}

}  // namespace arrowstile
