#include "workers.hpp"

#include <algorithm>
#include <deque>

namespace arrowstile {
namespace {

using std::chrono::milliseconds;

constexpr Duration sweepEvery = milliseconds(500);
// A worker's machine may close an idle connection sooner than the settings say, and what crosses that close
// may have run: ours are given back well before, in this part of the time.
// They may also close them sooner on some days: then in that part of the least time seen, which grows again.
constexpr int idlePart = 2, idleGrows = 100;
constexpr Duration leastIdle = milliseconds(20);  // sooner is no idling: some answers end their connection

const char *nameOf(Outcome outcome) {
    static constexpr const char *names[] = {"answered",    "errored", "full",       "timed out",
                                            "unconnected", "reset",   "called off", "not sent"};
    return names[static_cast<std::size_t>(outcome)];
}

}  // namespace

/// A try or a probe that is out.
struct Workers::Out {
    WorkerId worker;
    CallId call;
    TryNumber number;
    bool probe = false;
    Timestamp sentAt{};
    Duration patience{};
    std::uint64_t lastByte = 0;  // of what its connection has sent
    Alarms::Key alarm{};
};

struct Workers::Pool {
    Address address;
    Timestamp startedAt{};
    bool ready = false, gone = false, reachable = false;
    std::vector<std::unique_ptr<Link>> links;  // the one used last stands last
};

struct Workers::Link final : Stream::Holder {
    Link(Workers &workers, WorkerId of) : all(workers), worker(of) {}

    ~Link() {
        all.begun_ -= begun;
        all.around_.alarms.clear(comesUp);
        for (const Out &one : out) all.around_.alarms.clear(one.alarm);
        all.unflushed_.erase(this);
        --all.links_;
    }

    void onOpen() override;

    std::size_t onBytes(std::string_view bytes) override;
    std::size_t spoilt();

    void onClosed() override {
        const Timestamp until = out.empty() ? all.around_.clock.now() : out.front().sentAt;
        if (open && idleSince > Timestamp{} && !heard) all.closedAfter(until - idleSince);
        all.drop(*this, Outcome::reset);
    }

    Workers &all;
    const WorkerId worker;
    Stream::Ptr stream;
    std::deque<Out> out;
    std::uint64_t written = 0;
    std::size_t begun = 0;  ///< bytes of a reply that is not whole
    Timestamp idleSince{};
    Alarms::Key comesUp{};
    bool open = false, heard = false;  ///< heard: anything since it was last idle
};

Workers::Workers(Surroundings &around, Answered answered, IsOver isOver)
    : around_(around),
      answered_(std::move(answered)),
      isOver_(std::move(isOver)),
      idleMost_(around.start.settings.workerIdleTimeout / idlePart) {
    around_.alarms.set(around_.clock.now() + sweepEvery, [this] { sweep(); });
}

Workers::~Workers() { pools_.clear(); }

void Workers::list(const DiscoveryUpdate &news) {
    if (news.isSnapshot) {
        for (auto &[id, pool] : pools_) {
            pool.ready = false;
            pool.gone = true;
        }
    }
    for (const DiscoveredWorker &target : news.workers) {
        Pool &pool = pools_[target.entry.worker];
        Address address = pool.address;
        if (!target.address.empty()) {
            try {
                address = parseAddress(target.address, "address of a worker");
                pool.reachable = true;
            } catch (const ConfigError &error) {
                around_.log.warning(error.what());
                pool.reachable = false;
            }
        }
        // Another process or place: what is idle there leads nowhere.
        const bool another = pool.startedAt != target.entry.startedAt || pool.address != address;
        pool.address = address;
        pool.startedAt = target.entry.startedAt;
        pool.ready = target.entry.state == WorkerState::ready;
        pool.gone = target.entry.state == WorkerState::gone;
        if (another) closeIdle(target.entry.worker);
    }
    for (auto &[id, pool] : pools_) {
        if (!pool.ready) closeIdle(id);
    }
}

void Workers::notSent(const SendTry &action, TryNumber number) {
    ended({action.worker, action.call, number, false, around_.clock.now()}, Outcome::notSent, nullptr);
}

void Workers::send(const SendTry &action, TryNumber number, const ApiCall &call) {
    const auto found = pools_.find(action.worker);
    if (found == pools_.end()) return notSent(action, number);
    const Timestamp now = around_.clock.now();
    Out out{action.worker, action.call, number, false, now, action.deadline - now};
    if (out.patience <= Duration{}) return ended(out, Outcome::notSent, nullptr);
    std::string command;
    call.appendCommand(command, out.patience);
    put(found->second, action.worker, out, std::move(command));
}

void Workers::probe(WorkerId worker) {
    const auto found = pools_.find(worker);
    const Timestamp now = around_.clock.now();
    Out out{worker, {}, {}, true, now, around_.start.settings.engine.connectTimeout};
    if (found == pools_.end()) return ended(out, Outcome::connectFailed, nullptr);
    std::string command;
    const bool wantsLoad = around_.start.settings.engine.loadReportMode == LoadReportMode::byProbe;
    resp::appendArrayHeader(command, wantsLoad ? 2 : 1);
    resp::appendBulk(command, wantsLoad ? "INFO" : "PING");
    if (wantsLoad) resp::appendBulk(command, "load");
    put(found->second, worker, out, std::move(command));
}

/// A connection to itself for each try: one given up ends its connection, and answers that share one wait for
/// each other. Only at the limit on sockets do tries share, up to what the settings allow.
void Workers::put(Pool &pool, WorkerId worker, Out out, std::string command) {
    Link *link = takeIdle(pool);
    if (link != nullptr) {
        // the usual case
    } else if (links_ < around_.limits.maxWorkerConnections) {
        link = pool.reachable ? connect(pool, worker) : nullptr;
        if (link == nullptr) return ended(out, Outcome::connectFailed, nullptr);
    } else {
        const auto least = std::ranges::min_element(
            pool.links, {}, [](const auto &one) { return std::pair(!one->open, one->out.size()); });
        if (least == pool.links.end() ||
            (*least)->out.size() >= around_.start.settings.maxTriesPerConnection) {
            return ended(out, Outcome::notSent, nullptr);
        }
        link = least->get();
    }
    ++around_.metrics.triesSent;
    link->stream->write(command);
    link->written += command.size();
    out.lastByte = link->written;
    out.alarm =
        around_.alarms.set(out.sentAt + out.patience, [this, link, call = out.call, number = out.number] {
            const auto late = std::ranges::find_if(
                link->out, [&](const Out &one) { return one.call == call && one.number == number; });
            const Out given = *late;
            link->out.erase(late);
            drop(*link, Outcome::reset);
            ended(given, Outcome::timedOut, nullptr);
        });
    link->out.push_back(out);
    if (link->open) unflushed_.insert(link);
}

/// Bytes on an idle connection belong to nobody, and would be taken for the answer to what is sent next.
Workers::Link *Workers::takeIdle(Pool &pool) {
    for (auto at = pool.links.size(); at > 0; --at) {
        const auto one = pool.links.begin() + static_cast<std::ptrdiff_t>(at) - 1;
        if (!(*one)->open || !(*one)->out.empty()) continue;
        if ((*one)->stream->hasNews() || around_.clock.now() - (*one)->idleSince > idleMost_) {
            pool.links.erase(one);
            continue;
        }
        std::rotate(one, one + 1, pool.links.end());
        return pool.links.back().get();
    }
    return nullptr;
}

Workers::Link *Workers::connect(Pool &pool, WorkerId worker) {
    auto made = std::make_unique<Link>(*this, worker);
    Link *link = made.get();
    ++links_;
    link->stream = Stream::connect(around_.loop, pool.address, link);
    if (!link->stream) return nullptr;
    ++around_.metrics.workerConnections;
    link->comesUp = around_.alarms.set(around_.clock.now() + around_.start.settings.engine.connectTimeout,
                                       [this, link] { drop(*link, Outcome::connectFailed); });
    pool.links.push_back(std::move(made));
    return link;
}

/// The one place where a connection is given back. What is out on it ends with it: unseen by the worker where
/// its last byte was never written.
void Workers::drop(Link &link, Outcome rest) {
    auto &links = pools_.at(link.worker).links;
    const auto at = std::ranges::find_if(links, [&](const auto &one) { return one.get() == &link; });
    const auto kept = std::move(*at);
    links.erase(at);
    for (const Out &out : kept->out) {
        const bool seen = kept->open && kept->stream->sent() >= out.lastByte;
        ended(out, seen ? rest : Outcome::connectFailed, nullptr);
    }
}

void Workers::Link::onOpen() {
    all.around_.alarms.clear(comesUp);
    open = true;
    // Meanwhile the list may have turned: nothing new goes to a worker that drains or is gone.
    if (!all.pools_.at(worker).ready) return all.drop(*this, Outcome::connectFailed);
    all.unflushed_.insert(this);
}

std::size_t Workers::Link::onBytes(std::string_view bytes) {
    std::size_t used = 0;
    resp::Reply reply;
    heard = true;
    while (used < bytes.size()) {
        const auto rest = bytes.substr(used);
        const auto longest = all.around_.limits.maxReplyValueBytes;
        const auto parsed = out.empty() || !(out.front().probe || mayBecomeCallReply(rest, longest))
                                ? resp::ParseResult::malformed
                                : resp::parseReply(rest, reply, longest);
        if (parsed == resp::ParseResult::incomplete) break;
        if (parsed == resp::ParseResult::malformed) return spoilt();
        used += reply.consumedBytes;
        const Out one = out.front();
        out.pop_front();
        all.around_.alarms.clear(one.alarm);
        WorkerReply read = parseWorkerReply(reply, all.around_.start.settings);
        if (one.probe) {
            const bool load = reply.kind == resp::Reply::Kind::bulk;
            if (load) read.load = parseLoadReport(reply.text, all.around_.start.settings);
            if (load || reply.kind == resp::Reply::Kind::status) read.outcome = Outcome::answered;
        }
        if (read.isUnexpected && !one.probe) {
            out.push_front(one);
            return spoilt();
        }
        if (read.isSyntaxError) all.around_.log.error("a worker could not read a command: ", reply.text);
        all.ended(one, read.outcome, &read);
    }
    if (out.empty()) {
        idleSince = all.around_.clock.now();
        heard = false;
        if (!all.pools_.at(worker).ready) {
            all.drop(*this, Outcome::reset);
            return 0;
        }
    }
    all.begun_ += bytes.size() - used - begun;
    begun = bytes.size() - used;
    return used;
}

/// Nothing on this connection can be told from what belongs to it any more. A try on it may have run; it says
/// little of the worker, so it counts as one that errored.
std::size_t Workers::Link::spoilt() {
    if (!out.empty()) ++all.around_.metrics.repliesSpoilt;
    all.drop(*this, Outcome::errored);
    return 0;
}

void Workers::ended(const Out &out, Outcome outcome, const WorkerReply *reply) {
    Metrics &metrics = around_.metrics;
    switch (outcome) {
        case Outcome::answered: ++metrics.triesAnswered; break;
        case Outcome::errored: ++metrics.triesErrored; break;
        case Outcome::overloaded: ++metrics.triesFull; break;
        case Outcome::timedOut: ++metrics.triesTimedOut; break;
        case Outcome::connectFailed: ++metrics.triesUnconnected; break;
        case Outcome::reset: ++metrics.triesReset; break;
        case Outcome::cancelled: ++metrics.triesCalledOff; break;
        case Outcome::notSent: ++metrics.triesNotSent; break;
    }
    const Duration took = around_.clock.now() - out.sentAt;
    const std::vector<double> load = reply != nullptr ? reply->load : std::vector<double>{};
    if (out.probe) {
        around_.happened.emplace_back(ProbeEnded{out.worker, outcome, took, load});
        return;
    }
    if (outcome != Outcome::answered) {
        const auto pool = pools_.find(out.worker);
        const Address at = pool == pools_.end() ? Address{} : pool->second.address;
        around_.log.debug("try at ", at.host, ":", at.port, " ended as ", nameOf(outcome), " after ",
                          took.count() / 1000, " ms");
    }
    TryEnded event{out.call, out.number, out.worker, outcome, took, false, {}, {}, load};
    if (outcome == Outcome::answered) {
        event.rateUsedFraction = reply->rateUsedFraction;
        event.actualUnits = reply->actualUnits;
        answered_(out.call, reply->value);
        event.isCallClosed = true;
    } else {
        event.isCallClosed = isOver_(out.call);
    }
    around_.happened.emplace_back(std::move(event));
}

void Workers::callOff(CallId call, TryNumber number) {
    for (auto &[id, pool] : pools_) {
        for (const auto &link : pool.links) {
            const auto found = std::ranges::find_if(link->out, [&](const Out &one) {
                return !one.probe && one.call == call && one.number == number;
            });
            if (found == link->out.end()) continue;
            const Out given = *found;
            around_.alarms.clear(given.alarm);
            link->out.erase(found);
            drop(*link, Outcome::reset);
            return ended(given, Outcome::cancelled, nullptr);
        }
    }
}

/// A worker's machine ended a connection that had stood idle for so long.
void Workers::closedAfter(Duration idle) {
    if (idle >= leastIdle) idleMost_ = std::min(idleMost_, idle / idlePart);
}

void Workers::closeIdle(WorkerId worker) {
    const auto found = pools_.find(worker);
    if (found == pools_.end()) return;
    std::erase_if(found->second.links, [](const auto &one) { return one->open && one->out.empty(); });
}

/// Where replies come too large and too many at once for our memory, the longest makes room for the others.
void Workers::flush() {
    while (begun_ > around_.limits.maxBufferedBytesPerKind) {
        Link *longest = nullptr;
        for (auto &[id, pool] : pools_)
            for (auto &link : pool.links)
                if (longest == nullptr || link->begun > longest->begun) longest = link.get();
        longest->spoilt();
    }
    for (Link *link : std::exchange(unflushed_, {})) link->stream->flush();
}

void Workers::sweep() {
    const Timestamp now = around_.clock.now();
    const Duration most = idleMost_;
    idleMost_ =
        std::min(around_.start.settings.workerIdleTimeout / idlePart, idleMost_ + idleMost_ / idleGrows);
    around_.alarms.set(now + sweepEvery, [this] { sweep(); });
    for (auto &[id, pool] : pools_) {
        if (most <= Duration{}) break;
        std::erase_if(pool.links, [&](const auto &one) {
            return one->open && one->out.empty() && now - one->idleSince > most;
        });
    }
    std::erase_if(pools_, [](const auto &one) { return one.second.gone && one.second.links.empty(); });
}

}  // namespace arrowstile
