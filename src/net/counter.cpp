#include "counter.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace arrowstile {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t longestTotal = 256;
constexpr Duration sweepEvery = milliseconds(500), idleMost = milliseconds(4000);

/// An answer with no number in it still says that the call had its turn: the amount was added.
Outcome outcomeOf(const HttpResponse &answer, double &total) {
    if (answer.status == 503) return Outcome::overloaded;
    if (answer.status == 400 || answer.status == 404) return Outcome::connectFailed;  // nothing was added
    const std::string_view body = answer.body;
    const auto from = std::min(body.find_first_not_of(" \r\n"), body.size());
    const char *end = body.data() + body.find_last_not_of(" \r\n") + 1;
    const auto [at, error] = std::from_chars(body.data() + from, end, total);
    const bool number = error == std::errc{} && at == end && std::isfinite(total);
    return answer.status == 200 && number ? Outcome::answered : Outcome::errored;
}

}  // namespace

struct Counter::Link final : Stream::Holder {
    explicit Link(Counter &counter)
        : all(counter), answers(longestTotal, [this](HttpResponse answer) { hear(answer); }) {}

    ~Link() {
        all.around_.alarms.clear(gives);
        all.unflushed_.erase(this);
    }

    void onOpen() override {
        open = true;
        all.unflushed_.insert(this);
    }

    std::size_t onBytes(std::string_view bytes) override {
        const bool sound = answers.parse(bytes) && !closes;
        if (sound && (busy || !retired)) return bytes.size();
        all.drop(*this, true);
        return 0;
    }

    void onClosed() override { all.drop(*this, false); }

    void hear(const HttpResponse &answer) {
        double total = 0;
        const Outcome outcome = outcomeOf(answer, total);
        closes = closes || !answer.isKeepAlive || !busy || outcome == Outcome::errored;
        if (!std::exchange(busy, false)) return;
        idleSince = all.around_.clock.now();
        all.around_.alarms.clear(gives);
        if (!std::exchange(late, false)) all.ended(name, sentAt, outcome, total);
    }

    Counter &all;
    HttpResponseParser answers;
    Stream::Ptr stream;
    CountName name;
    Timestamp sentAt{}, idleSince{};
    Alarms::Key gives{};
    std::uint64_t written = 0;
    bool open = false, busy = false, late = false, closes = false, retired = false;
};

Counter::Counter(Surroundings &around) : around_(around) {
    around_.alarms.set(around_.clock.now() + sweepEvery, [this] { sweep(); });
}

Counter::~Counter() { links_.clear(); }

void Counter::add(const AddToCount &action) {
    const Timestamp now = around_.clock.now();
    auto free =
        std::find_if(links_.rbegin(), links_.rend(), [](const auto &one) { return one->open && !one->busy; });
    Link *link = nullptr;
    if (free != links_.rend()) {
        std::rotate(free.base() - 1, free.base(), links_.end());
        link = links_.back().get();
    } else {
        if (links_.size() >= around_.limits.maxCounterConnections) {
            const auto oldest = std::ranges::min_element(
                links_, {}, [](const auto &one) { return std::pair(!one->late, one->sentAt); });
            drop(**oldest, false);
        }
        link = connect();
    }
    ++around_.metrics.countsSent;
    if (link == nullptr) return ended(action.name, now, Outcome::connectFailed, 0);
    char target[128];
    const int size =
        std::snprintf(target, sizeof target, "/v2/numbers/%016llx?delta=%.9g&life_ms=%lld",
                      static_cast<unsigned long long>(action.name.value), action.amount,
                      static_cast<long long>(std::max<std::int64_t>(1, action.lifetime.count() / 1000)));
    const Address &at = *around_.start.counterAddress;
    const std::string text =
        formatHttpRequest("POST", std::string_view(target, static_cast<std::size_t>(size)),
                          at.host + ":" + std::to_string(at.port));
    link->stream->write(text);
    link->written += text.size();
    link->name = action.name;
    link->sentAt = now;
    link->busy = true;
    link->gives = around_.alarms.set(now + action.timeout, [this, link] {
        const bool seen = link->open && link->stream->sent() >= link->written;
        if (!seen) return drop(*link, false);
        link->late = true;
        ended(link->name, link->sentAt, Outcome::timedOut, 0);
    });
    if (link->open) unflushed_.insert(link);
}

void Counter::move() {
    std::erase_if(links_, [](const auto &one) { return !one->busy || one->late; });
    for (const auto &link : links_) link->retired = true;
}

Counter::Link *Counter::connect() {
    if (!around_.start.counterAddress) return nullptr;
    auto made = std::make_unique<Link>(*this);
    made->stream = Stream::connect(around_.loop, *around_.start.counterAddress, made.get());
    if (!made->stream) return nullptr;
    ++around_.metrics.counterConnections;
    links_.push_back(std::move(made));
    return links_.back().get();
}

/// The one place where a connection is given back. A call on it whose last byte was never written added
/// nothing; one that was written may have been added, and one answered with what can't be read was.
void Counter::drop(Link &link, bool answered) {
    const auto at = std::ranges::find_if(links_, [&](const auto &one) { return one.get() == &link; });
    const auto kept = std::move(*at);
    links_.erase(at);
    if (!kept->busy || kept->late) return;
    const bool seen = kept->open && kept->stream->sent() >= kept->written;
    const Outcome unseen = seen ? Outcome::reset : Outcome::connectFailed;
    ended(kept->name, kept->sentAt, answered ? Outcome::errored : unseen, 0);
}

void Counter::ended(CountName name, Timestamp sentAt, Outcome outcome, double total) {
    ++(outcome == Outcome::answered ? around_.metrics.countsAnswered : around_.metrics.countsLost);
    around_.happened.emplace_back(AddToCountEnded{name, outcome, total, around_.clock.now() - sentAt});
}

void Counter::flush() {
    for (Link *link : std::exchange(unflushed_, {})) link->stream->flush();
}

void Counter::sweep() {
    const Timestamp now = around_.clock.now();
    around_.alarms.set(now + sweepEvery, [this] { sweep(); });
    std::erase_if(
        links_, [&](const auto &one) { return one->open && !one->busy && now - one->idleSince > idleMost; });
}

}  // namespace arrowstile
