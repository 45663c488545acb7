#include "gateway.hpp"

#include <algorithm>
#include <csignal>

namespace arrowstile {
namespace {

using std::chrono::milliseconds;

/// Actions may produce further events at once. Those that remain after this number of rounds are left to the
/// next iteration of the event loop.
constexpr int kMaxRoundsPerIteration = 8;
/// Requests to workers are written by input that is no older than this: the list of workers, and which
/// clients have gone. After a longer iteration the sockets are read once more before.
constexpr Duration kMaxInputAge = milliseconds(30);
/// If the event loop wakes up later than planned by more than this, the process was suspended meanwhile.
constexpr Duration kMaxWakeDelay = milliseconds(5);

/// The settings of the engine, with the bounds that follow from this gateway's limits.
EngineSettings engineSettingsOf(const ServerContext &context) {
    EngineSettings settings = context.startDocument.settings.engine;
    settings.maxTriesInFlight = context.limits.maxWorkerConnections;
    settings.maxCustomers = context.limits.maxCustomers;
    return settings;
}

}  // namespace

Gateway::Gateway(uv_loop_t *loop, StartDocument startDocument, Log &log,
                 std::function<StartDocument()> readStartDocument)
    : context_{.loop = loop, .startDocument = std::move(startDocument), .log = log},
      readStartDocument_(std::move(readStartDocument)),
      engine_(engineSettingsOf(context_), context_.startDocument.seed),
      sentRequestIds_(context_.limits.maxSentRequestIds),
      clients_(context_, pendingCalls_, sentRequestIds_),
      workers_(context_, *this),
      counter_(context_),
      discovery_(context_,
                 [this](const DiscoveryUpdate &listed, WorkerListKind kind) {
                     const DiscoveryUpdate update = workerAddresses_.resolve(listed);
                     workers_.updateWorkers(update);
                     WorkerListUpdated event{kind, update.version, {}};
                     for (const DiscoveredWorker &worker : update.workers)
                         event.workers.push_back(worker.entry);
                     context_.pendingEvents.emplace_back(std::move(event));
                 }),
      peers_(context_),
      beforePoll_(new uv_prepare_t),
      afterPoll_(new uv_check_t),
      wakeTimer_(new uv_timer_t),
      sigterm_(new uv_signal_t),
      sigint_(new uv_signal_t),
      sigusr1_(new uv_signal_t),
      sighup_(new uv_signal_t) {
    uv_prepare_init(loop, beforePoll_.get());
    uv_check_init(loop, afterPoll_.get());
    uv_timer_init(loop, wakeTimer_.get());
    beforePoll_->data = afterPoll_->data = wakeTimer_->data = this;
    for (auto *signal : {sigterm_.get(), sigint_.get(), sigusr1_.get(), sighup_.get()}) {
        uv_signal_init(loop, signal);
        signal->data = this;
    }
}

Gateway::~Gateway() = default;

void Gateway::run() {
    const StartDocument &startDocument = context_.startDocument;
    const auto onStopSignal = [](uv_signal_t *signal, int) { static_cast<Gateway *>(signal->data)->stop(); };
    uv_signal_start(sigterm_.get(), onStopSignal, SIGTERM);
    uv_signal_start(sigint_.get(), onStopSignal, SIGINT);
    uv_signal_start(
        sigusr1_.get(),
        [](uv_signal_t *signal, int) {
            const ServerContext &context = static_cast<Gateway *>(signal->data)->context_;
            context.log.info("counters\n", context.metrics.toText());
        },
        SIGUSR1);
    uv_signal_start(
        sighup_.get(), [](uv_signal_t *signal, int) { static_cast<Gateway *>(signal->data)->reload(); },
        SIGHUP);
    clients_.listen(startDocument.listenAddress);
    peers_.listen();
    if (!startDocument.cachedWorkerListJson.empty())
        discovery_.loadCachedList(std::exchange(context_.startDocument.cachedWorkerListJson, {}));
    discovery_.setWatching(true);
    context_.pendingEvents.emplace_back(WorkerListUsableChanged{isListUsable_});
    context_.lastReadAt = context_.clock.now();
    uv_prepare_start(beforePoll_.get(),
                     [](uv_prepare_t *handle) { static_cast<Gateway *>(handle->data)->armWakeTimer(); });
    uv_check_start(afterPoll_.get(),
                   [](uv_check_t *handle) { static_cast<Gateway *>(handle->data)->processIteration(); });
    context_.log.info(startDocument.name, " serving on ", startDocument.listenAddress.host, ":",
                      startDocument.listenAddress.port);
    uv_run(context_.loop, UV_RUN_DEFAULT);
    context_.log.info("counters\n", context_.metrics.toText());
}

void Gateway::stop() { clients_.beginPlannedStop(); }

/// Reads the start document again and takes over its addresses of discovery, the counter and the peers.
/// Requests in flight to the counter end on their present connections. A document that can't be used changes
/// nothing.
void Gateway::reload() {
    try {
        StartDocument fresh = readStartDocument_();
        StartDocument &current = context_.startDocument;
        if (fresh.listenAddress != current.listenAddress ||
            fresh.peerListenAddress != current.peerListenAddress || fresh.maxSockets != current.maxSockets ||
            fresh.maxMemoryMb != current.maxMemoryMb || fresh.settingsJson != current.settingsJson) {
            context_.log.warning("reload: listen addresses, limits and settings change with a restart only");
        }
        const bool hasDiscoveryMoved = fresh.discoveryAddress != current.discoveryAddress;
        const bool hasCounterMoved = fresh.counterAddress != current.counterAddress;
        current.discoveryAddress = fresh.discoveryAddress;
        current.counterAddress = fresh.counterAddress;
        current.peerAddresses = std::move(fresh.peerAddresses);
        current.allPeersAddress = fresh.allPeersAddress;
        if (hasCounterMoved) counter_.onAddressChange();
        if (hasDiscoveryMoved) discovery_.onAddressChange();
        ++context_.metrics.reloads;
        context_.log.info("reloaded");
    } catch (const ConfigError &error) {
        context_.log.error("reload: ", error.what(), "; all stays as it was");
    }
}

/// Runs after the sockets were read: a reply that has arrived in time is processed before the timer that
/// would give up its request, however long the process was suspended.
void Gateway::processIteration() {
    const Timestamp now = context_.clock.now();
    // If the process was suspended while the loop waited, the loop may return without having read the
    // sockets. It then polls once more before any timer runs and any request is written to a worker.
    hasWokenLate_ = now > wakeBy_ + kMaxWakeDelay && !hasWokenLate_;
    if (!hasWokenLate_) {
        context_.lastReadAt = now;
        context_.timers.runDue(now);
    }
    updateListUsable();
    // What was held over is written right after the sockets were read.
    if (mustPollBeforeWrite_ && !hasWokenLate_) workers_.flush(isListUsable_);
    for (int round = 0; round < kMaxRoundsPerIteration && !context_.pendingEvents.empty(); ++round)
        runEngine();
    const bool isInputRecent = !hasWokenLate_ && inputAge() <= kMaxInputAge;
    workers_.flush(isListUsable_ && isInputRecent);
    mustPollBeforeWrite_ = !isInputRecent && workers_.hasQueuedRequests();
    counter_.flush();
    clients_.flush();
    if (!clients_.isStopped()) return;
    clients_.logEndOfStop();
    uv_stop(context_.loop);
}

/// Tells the engine when the list of workers becomes usable or doubtful. With the first usable list the
/// gateway is ready.
void Gateway::updateListUsable() {
    const bool isUsable = discovery_.hasList() && discovery_.mayUseList();
    if (std::exchange(isListUsable_, isUsable) == isUsable) return;
    if (isUsable) clients_.setReady();
    if (!isUsable) ++context_.metrics.listWaits;
    context_.log.info(isUsable ? "the list of workers is usable" : "calls wait for discovery's answer");
    context_.pendingEvents.emplace_back(WorkerListUsableChanged{isUsable});
}

/// Passes the pending events to the engine and carries out the actions that it returns. Changes of the list
/// of workers are passed first: they apply to every try that is sent after they arrived, even if the engine
/// sends it because of an event that arrived earlier.
void Gateway::runEngine() {
    events_.clear();
    events_.swap(context_.pendingEvents);
    std::ranges::stable_partition(events_, [](const Event &event) {
        return std::holds_alternative<WorkerListUpdated>(event) ||
               std::holds_alternative<WorkerListUsableChanged>(event);
    });
    const Timestamp now = context_.clock.now();
    actions_.clear();
    for (const Event &event : events_)
        std::ranges::move(engine_.handle(now, event), std::back_inserter(actions_));
    for (const Action &action : actions_) {
        std::visit([this](const auto &alternative) { execute(alternative); }, action);
    }
}

/// Time since the loop last returned from polling the sockets.
Duration Gateway::inputAge() const {
    const auto now = std::chrono::duration_cast<milliseconds>(std::chrono::nanoseconds(uv_hrtime()));
    return now - milliseconds(uv_now(context_.loop));
}

/// Limits the loop's wait for input to the time until the next timer is due, and to zero if there is
/// something to do at once.
void Gateway::armWakeTimer() {
    const bool mustReturnAtOnce = !context_.pendingEvents.empty() || mustPollBeforeWrite_;
    const auto due = mustReturnAtOnce ? std::optional(Timestamp{}) : context_.timers.nextDue();
    if (!due) return;
    const Timestamp now = context_.clock.now();
    const std::int64_t remainingUs = (*due - now).count();
    wakeBy_ = std::max(now, *due);
    uv_update_time(context_.loop);
    uv_timer_start(
        wakeTimer_.get(), [](uv_timer_t *) {},
        remainingUs > 0 ? static_cast<std::uint64_t>((remainingUs + 999) / 1000) : 0, 0);
}

const ApiCall *Gateway::findCall(CallId call) {
    const PendingCall *pending = pendingCalls_.find(call);
    return pending != nullptr ? &pending->call : nullptr;
}

ClientPresence Gateway::clientPresence(CallId call) {
    const PendingCall *pending = pendingCalls_.find(call);
    return pending != nullptr ? clients_.checkPresence(pending->client) : ClientPresence::gone;
}

void Gateway::recordStart(CallId call) {
    const PendingCall &pending = *pendingCalls_.find(call);
    const Route &route = context_.startDocument.settings.engine.routes[pending.call.event.route.value];
    sentRequestIds_.add(pending.call.requestId, route.effect, pending.client, context_.clock.now());
}

void Gateway::deliverValue(CallId call, std::string_view value) {
    const auto closed = pendingCalls_.remove(call);
    if (!closed) return;
    clients_.sendProxiedAnswer(*closed, value);
}

void Gateway::execute(const SendTry &action) {
    PendingCall *pending = pendingCalls_.find(action.call);
    const TryNumber tryNumber{static_cast<std::uint8_t>(pending != nullptr ? pending->tryCount++ : 0)};
    if (pending == nullptr) return workers_.reportNotSent(action, tryNumber);
    workers_.sendTry(action, tryNumber);
}

void Gateway::execute(const AnswerRateLimited &action) {
    const auto closed = pendingCalls_.remove(action.call);
    if (!closed) return;
    ++context_.metrics.callsRateLimited;
    clients_.sendAnswer(*closed, encodeRateLimitedAnswer(action.retryAfter));
}

void Gateway::execute(const AnswerErrored &action) {
    const auto closed = pendingCalls_.remove(action.call);
    if (!closed) return;
    ++context_.metrics.callsErrored;
    clients_.sendAnswer(*closed, encodeErroredAnswer());
}

void Gateway::execute(const SetTimer &action) {
    context_.timers.schedule(
        action.due, [this, token = action.token] { context_.pendingEvents.emplace_back(TimerFired{token}); });
}

}  // namespace arrowstile
