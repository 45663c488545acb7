/// \file
/// Binary format in which a simulator exchanges events and actions with decision engines.
///
/// Both directions carry frames. A frame starts with a length field, the number of bytes that follow as a
/// 32-bit integer. A request frame then holds the simulated time and any number of records, each an event or
/// the start or stop of an engine instance; its reply frame holds records only, one for each action. A record
/// starts with its code (8 bits) and the engine instance that it concerns (32 bits). Its other fields depend
/// on the code and are defined in wire.cpp.
///
/// Integers are unsigned and big-endian. Real numbers are IEEE 754 values of 32 or 64 bits, also big-endian.
/// Times and durations are 64-bit real numbers in milliseconds.
#pragma once

#include <arrowstile/actions.hpp>
#include <arrowstile/events.hpp>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace arrowstile::simhost {

/// A frame can't be read, decoded or processed.
struct FrameError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// One of the decision engines that the simulator drives; chosen by the simulator.
using InstanceId = Id<struct InstanceTag, std::uint32_t>;

/// Creates the engine of an instance. Replaces the engine if the instance is running already.
struct StartInstance {
    std::uint64_t seed = 0;  ///< of the engine's random number generator
    std::string settings;    ///< JSON text, see readSettings
};

/// Destroys the engine of an instance. Has no effect if the instance isn't running.
struct StopInstance {};

/// One record of a request frame.
struct RequestRecord {
    InstanceId instance;
    std::variant<StartInstance, StopInstance, Event> content;
};

/// A decoded request frame.
struct RequestFrame {
    Timestamp now{};                     ///< simulated time at which all records of the frame occur
    std::vector<RequestRecord> records;  ///< in the order in which they are to be processed
};

/// Size of the field at the start of each frame that holds the number of bytes after it.
constexpr std::size_t kLengthFieldBytes = 4;

/// The largest length that is accepted for a frame; a larger one is taken for a corrupt length field.
constexpr std::uint32_t kMaxFrameBytes = 1u << 30;

/// Decodes a request frame from the bytes after its length field. Throws FrameError if they are malformed.
RequestFrame decodeRequestFrame(std::string_view body);

/// The actions that the engines return for one request frame, encoded as records.
class ReplyFrame {
public:
    /// Appends the record of one action of an instance.
    void add(InstanceId instance, const Action &action);

    /// Returns the bytes of the whole frame, with its length field.
    std::string encode() const;

private:
    std::string body_;  // the frame without its length field
};

}  // namespace arrowstile::simhost
