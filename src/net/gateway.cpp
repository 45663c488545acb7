#include "gateway.hpp"

#include <algorithm>
#include <csignal>

namespace arrowstile {
namespace {

using std::chrono::milliseconds;

// A start is ready with discovery's first answer; with a list from before, no later than this.
constexpr Duration readyMost = milliseconds(1000);
constexpr int mostRounds = 8;
constexpr Duration oversleep = milliseconds(5);

}  // namespace

Gateway::Gateway(uv_loop_t *loop, StartDocument start, Log &log, std::function<StartDocument()> reread)
    : around_{.loop = loop, .start = std::move(start), .log = log},
      reread_(std::move(reread)),
      keeper_(around_.start.settings.engine, around_.start.seed),
      clients_(around_, book_),
      workers_(
          around_, [this](CallId call, std::string_view value) { answered(call, value); },
          [this](CallId call) { return book_.find(call) == nullptr; }),
      counter_(around_),
      discovery_(around_,
                 [this](const DiscoveryUpdate &news, WorkerListKind how) {
                     workers_.list(news);
                     WorkerListUpdated listed{how, news.version, {}};
                     for (const DiscoveredWorker &target : news.workers)
                         listed.workers.push_back(target.entry);
                     around_.happened.emplace_back(std::move(listed));
                     if (how == WorkerListKind::snapshot || how == WorkerListKind::delta) clients_.ready();
                 }),
      peers_(around_),
      before_(new uv_prepare_t),
      after_(new uv_check_t),
      timer_(new uv_timer_t),
      terminated_(new uv_signal_t),
      interrupted_(new uv_signal_t),
      asked_(new uv_signal_t),
      renewed_(new uv_signal_t) {
    uv_prepare_init(loop, before_.get());
    uv_check_init(loop, after_.get());
    uv_timer_init(loop, timer_.get());
    before_->data = after_->data = timer_->data = this;
    for (auto *signal : {terminated_.get(), interrupted_.get(), asked_.get(), renewed_.get()}) {
        uv_signal_init(loop, signal);
        signal->data = this;
    }
}

Gateway::~Gateway() = default;

void Gateway::run() {
    const StartDocument &start = around_.start;
    const auto stopping = [](uv_signal_t *signal, int) { static_cast<Gateway *>(signal->data)->stop(); };
    uv_signal_start(terminated_.get(), stopping, SIGTERM);
    uv_signal_start(interrupted_.get(), stopping, SIGINT);
    uv_signal_start(
        asked_.get(),
        [](uv_signal_t *signal, int) {
            const Surroundings &around = static_cast<Gateway *>(signal->data)->around_;
            around.log.info("counters\n", around.metrics.toText());
        },
        SIGUSR1);
    uv_signal_start(
        renewed_.get(), [](uv_signal_t *signal, int) { static_cast<Gateway *>(signal->data)->reload(); },
        SIGHUP);
    clients_.listen(start.listenAddress);
    peers_.listen();
    if (!start.cachedWorkerListJson.empty()) {
        discovery_.known(start.cachedWorkerListJson);
        around_.alarms.set(around_.clock.now() + readyMost, [this] { clients_.ready(); });
    }
    discovery_.follow(true);
    around_.readAt = around_.clock.now();
    uv_prepare_start(before_.get(),
                     [](uv_prepare_t *handle) { static_cast<Gateway *>(handle->data)->wake(); });
    uv_check_start(after_.get(), [](uv_check_t *handle) { static_cast<Gateway *>(handle->data)->turn(); });
    around_.log.info(start.name, " serving on ", start.listenAddress.host, ":", start.listenAddress.port);
    uv_run(around_.loop, UV_RUN_DEFAULT);
    around_.log.info("counters\n", around_.metrics.toText());
}

void Gateway::stop() {
    around_.log.info("stopping");
    clients_.leave();
}

/// Takes up the addresses of a new start document. Whatever is under way ends where it began; a document that
/// can't be used changes nothing.
void Gateway::reload() {
    try {
        StartDocument fresh = reread_();
        StartDocument &start = around_.start;
        if (fresh.listenAddress != start.listenAddress ||
            fresh.peerListenAddress != start.peerListenAddress || fresh.maxSockets != start.maxSockets ||
            fresh.maxMemoryMb != start.maxMemoryMb || fresh.settingsJson != start.settingsJson) {
            around_.log.warning("reload: listen addresses, limits and settings change with a restart only");
        }
        const bool discovery = fresh.discoveryAddress != start.discoveryAddress,
                   counter = fresh.counterAddress != start.counterAddress;
        start.discoveryAddress = fresh.discoveryAddress;
        start.counterAddress = fresh.counterAddress;
        start.peerAddresses = std::move(fresh.peerAddresses);
        start.allPeersAddress = fresh.allPeersAddress;
        if (counter) counter_.move();
        if (discovery) discovery_.move();
        ++around_.metrics.reloads;
        around_.log.info("reloaded");
    } catch (const ConfigError &error) {
        around_.log.error("reload: ", error.what(), "; all stays as it was");
    }
}

/// Comes after the sockets were read: an answer that was there in time is not given up by an alarm, however
/// long the machine stood still.
void Gateway::turn() {
    const Timestamp now = around_.clock.now();
    // A loop that was stopped in its sleep comes back without having read: it looks once more before any
    // alarm.
    overslept_ = now > wakeBy_ + oversleep && !overslept_;
    if (!overslept_) {
        around_.readAt = now;
        around_.alarms.run(now);
    }
    for (int round = 0; round < mostRounds && !around_.happened.empty(); ++round) handOver();
    workers_.flush();
    counter_.flush();
    clients_.flush();
    if (clients_.gone()) uv_stop(around_.loop);
}

/// The list goes first: what was told before a send counts, whatever was read before it.
void Gateway::handOver() {
    events_.clear();
    events_.swap(around_.happened);
    std::ranges::stable_partition(
        events_, [](const Event &event) { return std::holds_alternative<WorkerListUpdated>(event); });
    const Timestamp now = around_.clock.now();
    actions_.clear();
    for (const Event &event : events_)
        std::ranges::move(keeper_.handle(now, event), std::back_inserter(actions_));
    for (const Action &action : actions_) {
        std::visit([this](const auto &what) { carry(what); }, action);
    }
}

/// Lets the loop sleep no longer than until the next alarm, and not at all with something left to hand over.
void Gateway::wake() {
    const auto next = around_.happened.empty() ? around_.alarms.next() : std::optional(Timestamp{});
    if (!next) return;
    const Timestamp now = around_.clock.now();
    const std::int64_t left = (*next - now).count();
    wakeBy_ = std::max(now, *next);
    uv_update_time(around_.loop);
    uv_timer_start(
        timer_.get(), [](uv_timer_t *) {}, left > 0 ? static_cast<std::uint64_t>((left + 999) / 1000) : 0, 0);
}

void Gateway::answered(CallId call, std::string_view value) {
    const auto ended = book_.remove(call);
    if (!ended) return;
    ++around_.metrics.callsProxied;
    clients_.answer(*ended, encodeProxiedAnswer(value));
}

void Gateway::carry(const SendTry &action) {
    PendingCall *held = book_.find(action.call);
    const TryNumber number{static_cast<std::uint8_t>(held != nullptr ? held->tryCount++ : 0)};
    if (held == nullptr) return workers_.notSent(action, number);
    workers_.send(action, number, held->call);
}

void Gateway::carry(const AnswerRateLimited &action) {
    const auto ended = book_.remove(action.call);
    if (!ended) return;
    ++around_.metrics.callsRateLimited;
    clients_.answer(*ended, encodeRateLimitedAnswer(action.retryAfter));
}

void Gateway::carry(const AnswerErrored &action) {
    const auto ended = book_.remove(action.call);
    if (!ended) return;
    ++around_.metrics.callsErrored;
    clients_.answer(*ended, encodeErroredAnswer());
}

void Gateway::carry(const SetTimer &action) {
    around_.alarms.set(action.due,
                       [this, token = action.token] { around_.happened.emplace_back(TimerFired{token}); });
}

}  // namespace arrowstile
