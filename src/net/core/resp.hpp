/// \file
/// Codec for RESP2, the Redis protocol, which clients and workers use. It parses commands and replies in a
/// buffer of received bytes and appends encoded values to a buffer to send. It does no I/O and never throws
/// on malformed input.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace arrowstile::resp {

/// Longest argument of a command. A command that announces a longer one is malformed, so that nothing of it
/// is buffered.
constexpr std::size_t kMaxCommandValueBytes = 64 * 1024;
/// Maximum number of arguments of a command, and of items of an array in a reply.
constexpr std::size_t kMaxArrayItemCount = 16;

/// Result of parsing the front of a buffer.
enum class ParseResult {
    complete,    ///< one whole command or reply was parsed
    incomplete,  ///< valid so far; parse again from the start when more bytes have been received
    malformed    ///< not valid RESP, or above a limit; more bytes don't help
};

/// A command, which RESP encodes as an array of bulk strings.
struct Command {
    /// The command's name and its arguments; never empty after a complete parse. The views point into the
    /// parsed buffer.
    std::vector<std::string_view> arguments;
    std::size_t consumedBytes = 0;  ///< length of the encoded command; valid after a complete parse
};

/// A reply, or one item of a reply that is an array.
struct Reply {
    enum class Kind { status, error, integer, bulk, null, array } kind = Kind::null;
    /// Content of a bulk string; the rest of the line after the type byte for the other kinds. Points into
    /// the parsed buffer.
    std::string_view text;
    std::vector<Reply> items;       ///< of an array
    std::size_t consumedBytes = 0;  ///< length of the encoded reply, set for the outermost reply only
};

/// Parses one command at the front of `in`. `command` is valid only if the result is complete.
ParseResult parseCommand(std::string_view in, Command &command);

/// Parses one reply at the front of `in`. It is malformed if a bulk string is longer than `maxValueBytes` or
/// arrays are nested more than two deep. `reply` is valid only if the result is complete.
ParseResult parseReply(std::string_view in, Reply &reply, std::size_t maxValueBytes);

/// Appends the header of an array to `out`. The caller appends its `itemCount` items after it.
void appendArrayHeader(std::string &out, std::size_t itemCount);

/// Appends a bulk string to `out`; `value` may hold any bytes.
void appendBulk(std::string &out, std::string_view value);

/// Appends an error reply to `out`. `text` goes without the leading '-'; CR and LF in it are left out, as
/// they would end the line early.
void appendError(std::string &out, std::string_view text);

}  // namespace arrowstile::resp
