#include "wire.hpp"

#include <bit>
#include <cmath>
#include <limits>

namespace arrowstile::simhost {
namespace {

constexpr std::uint32_t everyPeer = std::numeric_limits<std::uint32_t>::max();
constexpr std::size_t longestNote = std::numeric_limits<std::uint16_t>::max();

Duration spanOf(double milliseconds) {
    if (!std::isfinite(milliseconds) || std::abs(milliseconds) > 1e13) {
        throw WireError("a time that is no sensible number");
    }
    return Duration{std::llround(milliseconds * 1000)};
}

double millisecondsOf(Duration span) { return static_cast<double>(span.count()) / 1000; }

class Reader {
public:
    explicit Reader(std::string_view bytes) : bytes_(bytes) {}

    bool atEnd() const { return at_ == bytes_.size(); }
    std::size_t at() const { return at_; }

    template <class Number>
    Number number() {
        std::uint64_t value = 0;
        for (const char byte : take(sizeof(Number))) {
            value = value << 8 | static_cast<unsigned char>(byte);
        }
        return static_cast<Number>(value);
    }

    double real32() { return std::bit_cast<float>(number<std::uint32_t>()); }
    double real64() { return std::bit_cast<double>(number<std::uint64_t>()); }
    Duration span() { return spanOf(real64()); }

    std::string_view take(std::size_t count) {
        if (count > bytes_.size() - at_) {
            throw WireError("the frame ends in the middle of a record");
        }
        const auto part = bytes_.substr(at_, count);
        at_ += count;
        return part;
    }

    std::vector<double> reals() {
        std::vector<double> values(number<std::uint8_t>());
        for (auto &value : values) {
            value = real32();
        }
        return values;
    }

private:
    std::string_view bytes_;
    std::size_t at_ = 0;
};

template <class Identity>
Identity readId(Reader &in) {
    return Identity{in.number<decltype(Identity{}.value)>()};
}

Outcome readOutcome(Reader &in) {
    switch (const auto code = in.number<std::uint16_t>()) {
        case 100: return Outcome::answered;
        case 301: return Outcome::errored;
        case 302: return Outcome::overloaded;
        case 303: return Outcome::timedOut;
        case 304: return Outcome::connectFailed;
        case 305: return Outcome::reset;
        case 306: return Outcome::cancelled;
        case 307: return Outcome::notSent;
        default: throw WireError("unknown outcome " + std::to_string(code));
    }
}

Event readUpdate(Reader &in) {
    WorkerListUpdated news;
    const auto how = in.number<std::uint8_t>();
    if (how > 3) {
        throw WireError("unknown kind of list " + std::to_string(how));
    }
    news.kind = static_cast<WorkerListKind>(how);
    news.version = in.number<std::uint64_t>();
    for (auto left = in.number<std::uint32_t>(); left > 0; --left) {
        WorkerEntry entry;
        entry.worker = readId<WorkerId>(in);
        entry.zone = readId<ZoneId>(in);
        entry.type = readId<WorkerTypeId>(in);
        entry.group = readId<WorkerGroupId>(in);
        const auto state = in.number<std::uint8_t>();
        if (state > 2) {
            throw WireError("unknown state of a worker " + std::to_string(state));
        }
        entry.state = static_cast<WorkerState>(state);
        entry.weight = in.real32();
        entry.startedAt = in.span();
        news.workers.push_back(entry);
    }
    return news;
}

Event readWorkItem(Reader &in) {
    CallReceived taken;
    taken.call = readId<CallId>(in);
    taken.gatewaySubsetStart = static_cast<unsigned>(std::max(0.0, in.real32()));
    taken.timeRemaining = in.span();
    taken.plan = readId<PlanId>(in);
    taken.units = in.real32();
    taken.gatewaySubsetSize = static_cast<unsigned>(std::max(0.0, in.real32()));
    taken.route = readId<RouteId>(in);
    const auto bits = in.number<std::uint16_t>();
    taken.isClientRetry = (bits & 2) != 0;
    taken.isWrite = (bits & 4) != 0;
    taken.customer = readId<CustomerId>(in);
    return taken;
}

Event readDone(Reader &in) {
    TryEnded ended;
    ended.call = readId<CallId>(in);
    ended.tryNumber = readId<TryNumber>(in);
    ended.worker = readId<WorkerId>(in);
    ended.outcome = readOutcome(in);
    ended.latency = in.span();
    ended.isCallClosed = in.number<std::uint8_t>() != 0;
    if (const auto used = in.number<std::uint16_t>(); used > 0) {
        ended.rateUsedFraction = (used - 1) / 100.0;
    }
    if (const auto units = in.number<std::uint16_t>(); units > 0) {
        ended.actualUnits = units;
    }
    ended.load = in.reals();
    return ended;
}

Happening readRecord(Reader &in) {
    const auto code = in.number<std::uint8_t>();
    Happening happening{readId<InstanceNumber>(in), Stopped{}};
    switch (code) {
        case 10: happening.what = readDone(in); break;
        case 20: {
            TryStreamStarted flowing;
            flowing.call = readId<CallId>(in);
            flowing.tryNumber = readId<TryNumber>(in);
            flowing.worker = readId<WorkerId>(in);
            flowing.latency = in.span();
            happening.what = flowing;
            break;
        }
        case 30: {
            Started started;
            started.seed = in.number<std::uint64_t>();
            started.settings = in.take(in.number<std::uint32_t>());
            happening.what = started;
            break;
        }
        case 40: {
            PeerMessageReceived heard;
            heard.from.value = in.number<std::uint16_t>();
            for (const char byte : in.take(in.number<std::uint16_t>())) {
                heard.bytes.push_back(static_cast<std::byte>(byte));
            }
            happening.what = heard;
            break;
        }
        case 50: break;
        case 60: {
            AddToCountEnded answered;
            answered.name = readId<CountName>(in);
            answered.outcome = readOutcome(in);
            answered.total = in.real32();
            answered.latency = in.span();
            happening.what = answered;
            break;
        }
        case 70: happening.what = CallAbandoned{readId<CallId>(in)}; break;
        case 80: {
            ProbeEnded ended;
            ended.worker = readId<WorkerId>(in);
            ended.outcome = readOutcome(in);
            ended.latency = in.span();
            ended.load = in.reals();
            happening.what = ended;
            break;
        }
        case 90: happening.what = readWorkItem(in); break;
        case 100: happening.what = readUpdate(in); break;
        case 110: happening.what = TimerFired{readId<TimerToken>(in)}; break;
        default: throw WireError("unknown event code " + std::to_string(code));
    }
    return happening;
}

class Writer {
public:
    Writer(std::string &out, std::uint8_t code, InstanceNumber instance) : out_(out) {
        number(code);
        id(instance);
    }

    template <class Number>
    Writer &number(Number value) {
        for (std::size_t i = sizeof(Number); i-- > 0;) {
            out_.push_back(static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i) & 0xff));
        }
        return *this;
    }

    template <class Identity>
    Writer &id(Identity identity) {
        return number(identity.value);
    }

    Writer &span(Duration value) { return number(std::bit_cast<std::uint64_t>(millisecondsOf(value))); }
    Writer &real32(double value) { return number(std::bit_cast<std::uint32_t>(static_cast<float>(value))); }

    Writer &bytes(std::string_view value) {
        number(static_cast<std::uint16_t>(value.size()));
        out_.append(value);
        return *this;
    }

private:
    std::string &out_;
};

struct Encode {
    std::string &out;
    InstanceNumber who;

    Writer record(std::uint8_t code) const { return Writer(out, code, who); }

    void operator()(const SendTry &a) const { record(10).id(a.call).span(a.deadline).id(a.worker); }
    void operator()(const AnswerRateLimited &a) const {
        record(20).id(a.call).span(a.retryAfter.value_or(Duration{}));
    }
    void operator()(const AnswerErrored &a) const { record(30).id(a.call); }
    void operator()(const CancelTry &a) const { record(40).id(a.call).id(a.tryNumber); }
    void operator()(const SetTimer &a) const { record(50).span(a.due).id(a.token); }
    void operator()(const ProbeWorker &a) const { record(60).id(a.worker); }
    void operator()(const CloseIdleConnections &a) const { record(70).id(a.worker); }
    void operator()(const SendPeerMessage &a) const {
        const std::string_view text(reinterpret_cast<const char *>(a.bytes.data()), a.bytes.size());
        record(80).number(a.peer ? a.peer->value : everyPeer).bytes(text);
    }
    void operator()(const WriteLog &a) const {
        record(90).bytes(std::string_view(a.text).substr(0, longestNote));
    }
    void operator()(const WatchWorkerList &a) const {
        record(110).number(static_cast<std::uint8_t>(a.enabled));
    }
    void operator()(const FetchWorkerList &) const { record(120); }
    void operator()(const AddToCount &a) const { record(130).span(a.lifetime).id(a.name).real32(a.amount); }
};

}  // namespace

Batch decodeBatch(std::string_view body) {
    Reader in(body);
    std::size_t start = 0;
    try {
        Batch batch{in.span(), {}};
        while (!in.atEnd()) {
            start = in.at();
            batch.happenings.push_back(readRecord(in));
        }
        return batch;
    } catch (const WireError &error) {
        throw WireError(std::string(error.what()) + ", in the record at byte " + std::to_string(start + 4));
    }
}

void Reply::add(InstanceNumber instance, const Action &action) {
    std::visit(Encode{body_, instance}, action);
}

std::string Reply::frame() const {
    const auto size = static_cast<std::uint32_t>(body_.size());
    std::string out;
    for (int shift = 24; shift >= 0; shift -= 8) {
        out.push_back(static_cast<char>(size >> shift & 0xff));
    }
    return out + body_;
}

}  // namespace arrowstile::simhost
