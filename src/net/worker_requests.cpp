/// \file
/// The tries and probes of WorkerConnections: when they are written, and how they end.
#include "worker_connection.hpp"

namespace arrowstile {
namespace {

const char *outcomeName(Outcome outcome) {
    static constexpr const char *names[] = {"answered",  "errored",        "overloaded",
                                            "timed out", "connect failed", "reset",
                                            "cancelled", "not sent",       "local failure"};
    return names[static_cast<std::size_t>(outcome)];
}

}  // namespace

void WorkerConnections::reportNotSent(const SendTry &action, TryNumber tryNumber) {
    reportEnd({action.worker, action.call, tryNumber, false, context_.clock.now()}, Outcome::notSent,
              nullptr);
}

void WorkerConnections::sendTry(const SendTry &action, TryNumber tryNumber) {
    const auto found = pools_.find(action.worker);
    if (found == pools_.end()) return reportNotSent(action, tryNumber);
    queueRequest(found->second, {action.worker, action.call, tryNumber, false, context_.clock.now(),
                                 action.deadline, action.repeat, action.latestStart});
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
        const bool hasStarted =
            connection.inFlight->isProbe ? startProbe(connection) : startRequest(connection);
        if (!hasStarted) reportEnd(takeRequest(connection), Outcome::notSent, nullptr);
    }
    if (!connection.inFlight && !isUsable(connection)) closeConnection(connection, Outcome::reset);
}

/// Starts the try on a connection, unless refusalToStart() forbids it.
bool WorkerConnections::startRequest(Connection &connection) {
    const InFlightRequest &request = *connection.inFlight;
    const RequestStartState state = startStateOf(connection);
    if (const auto refusal = refusalToStart(state)) {
        recordRefusal(request, *refusal, "not started");
        return false;
    }
    std::string command;
    calls_.findCall(request.call)->appendCommand(command, request.deadline - state.now);
    calls_.recordStart(request.call);
    write(connection, command);
    untakenConnections_.insert(&connection);
    return true;
}

bool WorkerConnections::startProbe(Connection &connection) {
    if (isUsable(connection)) write(connection, probeCommand());
    return connection.inFlight->isWritten;
}

void WorkerConnections::write(Connection &connection, const std::string &command) {
    connection.inFlight->isWritten = true;
    connection.writtenBytes += command.size();
    connection.tcp->write(command);
    connection.tcp->flush();
}

/// What decides whether the try on a connection may start, or go on.
RequestStartState WorkerConnections::startStateOf(const Connection &connection) const {
    const InFlightRequest &request = *connection.inFlight;
    const ConnectionPool &pool = pools_.at(connection.worker);
    const bool isCallPending = calls_.findCall(request.call) != nullptr;
    const ClientPresence client = calls_.clientPresence(request.call);
    return {.now = context_.clock.now(),
            .isCallPending = isCallPending,
            .client = client,
            .deadline = request.deadline,
            .latestStart = request.latestStart,
            .repeat = request.repeat,
            .worker = pool.entry,
            .isSameProcess = connection.generation == pool.generation};
}

/// Counts a try that was turned down by its reason, and logs it with the id of its call.
void WorkerConnections::recordRefusal(const InFlightRequest &request, StartRefusal reason,
                                      std::string_view what) {
    ++context_.metrics.startRefusals[static_cast<std::size_t>(reason)];
    context_.log.debug(describe(request), " ", what, ": ", toString(reason));
}

/// Closes the connections whose worker's machine has not taken all of a request that must not go on, so that
/// the worker never gets it whole.
void WorkerConnections::endForbiddenRequests() {
    for (Connection *connection : std::set(untakenConnections_)) {
        const bool isAwaited = connection->inFlight && connection->inFlight->isWritten;
        if (!isAwaited || connection->isTaken()) {
            untakenConnections_.erase(connection);
            continue;
        }
        const auto refusal = refusalToContinue(startStateOf(*connection));
        if (!refusal) continue;
        recordRefusal(*connection->inFlight, *refusal, "given up before it was taken whole");
        closeConnection(*connection, Outcome::cancelled, Outcome::notSent);
    }
}

/// Whether a connection may take further requests: its worker is ready and has the process and the address
/// that the connection leads to.
bool WorkerConnections::isUsable(const Connection &connection) const {
    const ConnectionPool &pool = pools_.at(connection.worker);
    return pool.isReady() && connection.generation == pool.generation;
}

/// Names a try in the log: the id of its call while that is pending, its number and its worker's address.
std::string WorkerConnections::describe(const InFlightRequest &request) const {
    const ApiCall *call = calls_.findCall(request.call);
    const auto pool = pools_.find(request.worker);
    const Address address = pool == pools_.end() ? Address{} : pool->second.address;
    return "request " + (call != nullptr ? call->requestId : std::string("(ended)")) + ": try " +
           std::to_string(request.tryNumber.value) + " at " + address.host + ":" +
           std::to_string(address.port);
}

/// Counts the end of a request, logs it unless it was answered, adds the event that reports it and delivers
/// the value of a successful try. `reply` is nullptr if there was none.
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
        context_.log.debug(describe(request), " ended: ", outcomeName(outcome), " after ",
                           latency.count() / 1000, " ms");
    }
    TryEnded event{request.call, request.tryNumber, request.worker, outcome, latency, false, {}, {}, load};
    if (outcome == Outcome::answered) {
        event.rateUsedFraction = reply->rateUsedFraction;
        event.actualUnits = reply->actualUnits;
        calls_.deliverValue(request.call, reply->value);
        event.isCallClosed = true;
    } else {
        event.isCallClosed = calls_.findCall(request.call) == nullptr;
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

void WorkerConnections::flush(bool mayWrite) {
    dropExcessiveReplies();
    endForbiddenRequests();
    while (mayWrite && !unflushedConnections_.empty())
        writeQueuedRequest(*unflushedConnections_.extract(unflushedConnections_.begin()).value());
}

}  // namespace arrowstile
