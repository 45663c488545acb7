#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace arrowstile::resp {

/// A value holds at most so much; what claims more is not read.
constexpr std::size_t kMaxCommandValueBytes = 64 * 1024;
constexpr std::size_t kMaxArrayItemCount = 16;

enum class ParseResult { complete, incomplete, malformed };

/// The words point into what was parsed.
struct Command {
    std::vector<std::string_view> arguments;
    std::size_t consumedBytes = 0;
};

struct Reply {
    enum class Kind { status, error, integer, bulk, null, array } kind = Kind::null;
    std::string_view text;
    std::vector<Reply> items;
    std::size_t consumedBytes = 0;
};

/// Reads one command, an array of bulk strings, from the front of what has come so far.
ParseResult parseCommand(std::string_view in, Command &command);

/// Reads one reply, with no value over `maxValueBytes`; an array may not hold arrays deeper than one.
ParseResult parseReply(std::string_view in, Reply &reply, std::size_t maxValueBytes);

void appendArrayHeader(std::string &out, std::size_t itemCount);
void appendBulk(std::string &out, std::string_view value);
/// Line breaks in the text would end the line early and are left out.
void appendError(std::string &out, std::string_view text);

}  // namespace arrowstile::resp
