#include "wire.hpp"

#include <bit>
#include <cmath>
#include <limits>

namespace arrowstile::simhost {
namespace {

/// Codes of the records in a request frame. readRecord and the functions that it calls define the fields of
/// each.
namespace event_code {
constexpr std::uint8_t kTryEnded = 10;
constexpr std::uint8_t kTryStreamStarted = 20;
constexpr std::uint8_t kStartInstance = 30;
constexpr std::uint8_t kPeerMessageReceived = 40;
constexpr std::uint8_t kStopInstance = 50;
constexpr std::uint8_t kAddToCountEnded = 60;
constexpr std::uint8_t kCallAbandoned = 70;
constexpr std::uint8_t kProbeEnded = 80;
constexpr std::uint8_t kCallReceived = 90;
constexpr std::uint8_t kWorkerListUpdated = 100;
constexpr std::uint8_t kTimerFired = 110;
}  // namespace event_code

/// Codes of the records in a reply frame. ActionEncoder defines the fields of each. There is no code 100.
namespace action_code {
constexpr std::uint8_t kSendTry = 10;
constexpr std::uint8_t kAnswerRateLimited = 20;
constexpr std::uint8_t kAnswerErrored = 30;
constexpr std::uint8_t kCancelTry = 40;
constexpr std::uint8_t kSetTimer = 50;
constexpr std::uint8_t kProbeWorker = 60;
constexpr std::uint8_t kCloseIdleConnections = 70;
constexpr std::uint8_t kSendPeerMessage = 80;
constexpr std::uint8_t kWriteLog = 90;
constexpr std::uint8_t kWatchWorkerList = 110;
constexpr std::uint8_t kFetchWorkerList = 120;
constexpr std::uint8_t kAddToCount = 130;
}  // namespace action_code

/// Highest values of the enums that a frame holds as plain numbers.
constexpr auto kMaxWorkerListKind = static_cast<std::uint8_t>(WorkerListKind::cached);
constexpr auto kMaxWorkerState = static_cast<std::uint8_t>(WorkerState::draining);

/// Bits in the flags of a received call; the other bits are ignored.
constexpr std::uint16_t kClientRetryFlag = 2;
constexpr std::uint16_t kWriteFlag = 4;

/// Sent instead of a peer's index for a message to all peers.
constexpr std::uint32_t kAllPeers = std::numeric_limits<std::uint32_t>::max();

/// Log texts are cut to this length, because it is sent as a 16-bit integer.
constexpr std::size_t kMaxLogTextBytes = std::numeric_limits<std::uint16_t>::max();

/// Largest absolute value of a time in a frame, about 317 years. Converted to microseconds, it is far within
/// the range of Duration.
constexpr double kMaxTimeMs = 1e13;

/// Throws FrameError if the value is infinite, not a number or beyond kMaxTimeMs.
Duration fromMs(double milliseconds) {
    if (!std::isfinite(milliseconds) || std::abs(milliseconds) > kMaxTimeMs) {
        throw FrameError("a time is no sensible number (not finite or beyond 1e13 ms)");
    }
    return Duration{std::llround(milliseconds * 1000)};
}

double toMs(Duration duration) { return static_cast<double>(duration.count()) / 1000; }

/// Reads the fields of a frame one after the other. Each function throws FrameError if the frame ends before
/// the field does.
class FrameReader {
public:
    explicit FrameReader(std::string_view bytes) : bytes_(bytes) {}

    bool isAtEnd() const { return position_ == bytes_.size(); }

    /// Number of bytes read so far.
    std::size_t position() const { return position_; }

    template <class Integer>
    Integer readInteger() {
        std::uint64_t value = 0;
        for (const char byte : readBytes(sizeof(Integer))) {
            value = value << 8 | static_cast<unsigned char>(byte);
        }
        return static_cast<Integer>(value);
    }

    double readFloat32() { return std::bit_cast<float>(readInteger<std::uint32_t>()); }
    double readFloat64() { return std::bit_cast<double>(readInteger<std::uint64_t>()); }
    Duration readDuration() { return fromMs(readFloat64()); }

    std::string_view readBytes(std::size_t count) {
        if (count > bytes_.size() - position_) {
            throw FrameError("the frame ends in the middle of a record");
        }
        const auto part = bytes_.substr(position_, count);
        position_ += count;
        return part;
    }

    /// Reads a list of 32-bit real numbers, which follows its 8-bit size.
    std::vector<double> readFloat32List() {
        std::vector<double> values(readInteger<std::uint8_t>());
        for (auto &value : values) {
            value = readFloat32();
        }
        return values;
    }

private:
    std::string_view bytes_;
    std::size_t position_ = 0;
};

/// Reads an identifier, an integer of the size that its type has in ids.hpp.
template <class IdType>
IdType readId(FrameReader &in) {
    return IdType{in.readInteger<decltype(IdType{}.value)>()};
}

Outcome readOutcome(FrameReader &in) {
    switch (const auto code = in.readInteger<std::uint16_t>()) {
        case 100: return Outcome::answered;
        case 301: return Outcome::errored;
        case 302: return Outcome::overloaded;
        case 303: return Outcome::timedOut;
        case 304: return Outcome::connectFailed;
        case 305: return Outcome::reset;
        case 306: return Outcome::cancelled;
        case 307: return Outcome::notSent;
        default: throw FrameError("unknown outcome " + std::to_string(code));
    }
}

Event readWorkerListUpdated(FrameReader &in) {
    WorkerListUpdated update;
    const auto kind = in.readInteger<std::uint8_t>();
    if (kind > kMaxWorkerListKind) {
        throw FrameError("unknown kind of worker list " + std::to_string(kind));
    }
    update.kind = static_cast<WorkerListKind>(kind);
    update.version = in.readInteger<std::uint64_t>();
    for (auto remaining = in.readInteger<std::uint32_t>(); remaining > 0; --remaining) {
        WorkerEntry entry;
        entry.worker = readId<WorkerId>(in);
        entry.zone = readId<ZoneId>(in);
        entry.type = readId<WorkerTypeId>(in);
        entry.group = readId<WorkerGroupId>(in);
        const auto state = in.readInteger<std::uint8_t>();
        if (state > kMaxWorkerState) {
            throw FrameError("unknown worker state " + std::to_string(state));
        }
        entry.state = static_cast<WorkerState>(state);
        entry.weight = in.readFloat32();
        entry.startedAt = in.readDuration();
        update.workers.push_back(entry);
    }
    return update;
}

Event readCallReceived(FrameReader &in) {
    CallReceived received;
    received.call = readId<CallId>(in);
    // Both gatewaySubset fields are whole numbers sent as real numbers. Negative values and NaN become 0.
    received.gatewaySubsetStart = static_cast<unsigned>(std::max(0.0, in.readFloat32()));
    received.timeRemaining = in.readDuration();
    received.plan = readId<PlanId>(in);
    received.units = in.readFloat32();
    received.gatewaySubsetSize = static_cast<unsigned>(std::max(0.0, in.readFloat32()));
    received.route = readId<RouteId>(in);
    const auto flags = in.readInteger<std::uint16_t>();
    received.isClientRetry = (flags & kClientRetryFlag) != 0;
    received.isWrite = (flags & kWriteFlag) != 0;
    received.customer = readId<CustomerId>(in);
    return received;
}

Event readTryEnded(FrameReader &in) {
    TryEnded ended;
    ended.call = readId<CallId>(in);
    ended.tryNumber = readId<TryNumber>(in);
    ended.worker = readId<WorkerId>(in);
    ended.outcome = readOutcome(in);
    ended.latency = in.readDuration();
    ended.isCallClosed = in.readInteger<std::uint8_t>() != 0;
    // In both optional fields, 0 stands for no value. The first field holds a percentage plus 1.
    if (const auto used = in.readInteger<std::uint16_t>(); used > 0) {
        ended.rateUsedFraction = (used - 1) / 100.0;
    }
    if (const auto units = in.readInteger<std::uint16_t>(); units > 0) {
        ended.actualUnits = units;
    }
    ended.load = in.readFloat32List();
    return ended;
}

RequestRecord readRecord(FrameReader &in) {
    const auto code = in.readInteger<std::uint8_t>();
    RequestRecord record{readId<InstanceId>(in), StopInstance{}};
    switch (code) {
        case event_code::kTryEnded: record.content = readTryEnded(in); break;
        case event_code::kTryStreamStarted: {
            TryStreamStarted started;
            started.call = readId<CallId>(in);
            started.tryNumber = readId<TryNumber>(in);
            started.worker = readId<WorkerId>(in);
            started.latency = in.readDuration();
            record.content = started;
            break;
        }
        case event_code::kStartInstance: {
            StartInstance start;
            start.seed = in.readInteger<std::uint64_t>();
            start.settings = in.readBytes(in.readInteger<std::uint32_t>());
            record.content = start;
            break;
        }
        case event_code::kPeerMessageReceived: {
            PeerMessageReceived message;
            message.from.value = in.readInteger<std::uint16_t>();  // 16 bits here, 32 bits in SendPeerMessage
            for (const char byte : in.readBytes(in.readInteger<std::uint16_t>())) {
                message.bytes.push_back(static_cast<std::byte>(byte));
            }
            record.content = message;
            break;
        }
        case event_code::kStopInstance: break;  // no fields; `record` holds StopInstance already
        case event_code::kAddToCountEnded: {
            AddToCountEnded ended;
            ended.name = readId<CountName>(in);
            ended.outcome = readOutcome(in);
            ended.total = in.readFloat32();
            ended.latency = in.readDuration();
            record.content = ended;
            break;
        }
        case event_code::kCallAbandoned: record.content = CallAbandoned{readId<CallId>(in)}; break;
        case event_code::kProbeEnded: {
            ProbeEnded ended;
            ended.worker = readId<WorkerId>(in);
            ended.outcome = readOutcome(in);
            ended.latency = in.readDuration();
            ended.load = in.readFloat32List();
            record.content = ended;
            break;
        }
        case event_code::kCallReceived: record.content = readCallReceived(in); break;
        case event_code::kWorkerListUpdated: record.content = readWorkerListUpdated(in); break;
        case event_code::kTimerFired: record.content = TimerFired{readId<TimerToken>(in)}; break;
        default: throw FrameError("unknown event code " + std::to_string(code));
    }
    return record;
}

/// Appends one record to a reply frame. The constructor writes the record's code and instance.
class RecordWriter {
public:
    RecordWriter(std::string &out, std::uint8_t code, InstanceId instance) : out_(out) {
        writeInteger(code);
        writeId(instance);
    }

    template <class Integer>
    RecordWriter &writeInteger(Integer value) {
        for (std::size_t i = sizeof(Integer); i-- > 0;) {
            out_.push_back(static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i) & 0xff));
        }
        return *this;
    }

    template <class IdType>
    RecordWriter &writeId(IdType id) {
        return writeInteger(id.value);
    }

    RecordWriter &writeDuration(Duration value) {
        return writeInteger(std::bit_cast<std::uint64_t>(toMs(value)));
    }
    RecordWriter &writeFloat32(double value) {
        return writeInteger(std::bit_cast<std::uint32_t>(static_cast<float>(value)));
    }

    /// Writes the number of bytes as a 16-bit integer, then the bytes. There must be no more than 65,535.
    RecordWriter &writeBytes(std::string_view value) {
        writeInteger(static_cast<std::uint16_t>(value.size()));
        out_.append(value);
        return *this;
    }

private:
    std::string &out_;
};

/// Visitor of Action: appends the action's record to `out`.
struct ActionEncoder {
    std::string &out;
    InstanceId instance;

    RecordWriter beginRecord(std::uint8_t code) const { return RecordWriter(out, code, instance); }

    void operator()(const SendTry &action) const {
        beginRecord(action_code::kSendTry)
            .writeId(action.call)
            .writeDuration(action.deadline)
            .writeId(action.worker);
    }
    /// The format can't tell a missing `retryAfter` from 0.
    void operator()(const AnswerRateLimited &action) const {
        beginRecord(action_code::kAnswerRateLimited)
            .writeId(action.call)
            .writeDuration(action.retryAfter.value_or(Duration{}));
    }
    void operator()(const AnswerErrored &action) const {
        beginRecord(action_code::kAnswerErrored).writeId(action.call);
    }
    void operator()(const CancelTry &action) const {
        beginRecord(action_code::kCancelTry).writeId(action.call).writeId(action.tryNumber);
    }
    void operator()(const SetTimer &action) const {
        beginRecord(action_code::kSetTimer).writeDuration(action.due).writeId(action.token);
    }
    void operator()(const ProbeWorker &action) const {
        beginRecord(action_code::kProbeWorker).writeId(action.worker);
    }
    void operator()(const CloseIdleConnections &action) const {
        beginRecord(action_code::kCloseIdleConnections).writeId(action.worker);
    }
    void operator()(const SendPeerMessage &action) const {
        const std::string_view bytes(reinterpret_cast<const char *>(action.bytes.data()),
                                     action.bytes.size());
        beginRecord(action_code::kSendPeerMessage)
            .writeInteger(action.peer ? action.peer->value : kAllPeers)
            .writeBytes(bytes);
    }
    void operator()(const WriteLog &action) const {
        beginRecord(action_code::kWriteLog)
            .writeBytes(std::string_view(action.text).substr(0, kMaxLogTextBytes));
    }
    void operator()(const WatchWorkerList &action) const {
        beginRecord(action_code::kWatchWorkerList).writeInteger(static_cast<std::uint8_t>(action.enabled));
    }
    void operator()(const FetchWorkerList &) const { beginRecord(action_code::kFetchWorkerList); }
    /// The timeout isn't sent: the simulated counter has a timeout of its own.
    void operator()(const AddToCount &action) const {
        beginRecord(action_code::kAddToCount)
            .writeDuration(action.lifetime)
            .writeId(action.name)
            .writeFloat32(action.amount);
    }
};

}  // namespace

RequestFrame decodeRequestFrame(std::string_view body) {
    FrameReader in(body);
    std::size_t recordStart = 0;  // for error messages; 0, the frame's time, until the first record begins
    try {
        RequestFrame frame{in.readDuration(), {}};
        while (!in.isAtEnd()) {
            recordStart = in.position();
            frame.records.push_back(readRecord(in));
        }
        return frame;
    } catch (const FrameError &error) {
        throw FrameError(std::string(error.what()) + ", in the record at byte " +
                         std::to_string(recordStart + kLengthFieldBytes));
    }
}

void ReplyFrame::add(InstanceId instance, const Action &action) {
    std::visit(ActionEncoder{body_, instance}, action);
}

std::string ReplyFrame::encode() const {
    const auto size = static_cast<std::uint32_t>(body_.size());
    std::string out;
    for (int shift = 24; shift >= 0; shift -= 8) {
        out.push_back(static_cast<char>(size >> shift & 0xff));
    }
    return out + body_;
}

}  // namespace arrowstile::simhost
