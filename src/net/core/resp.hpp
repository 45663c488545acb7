#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace arrowstile::resp {

/// A value holds at most so much; what claims more is not read.
constexpr std::size_t longestValue = 64 * 1024;
constexpr std::size_t mostWords = 16;

enum class Parsed { whole, more, broken };

/// The words point into what was parsed.
struct Command {
    std::vector<std::string_view> words;
    std::size_t used = 0;
};

struct Reply {
    enum class Kind { status, error, number, bulk, null, array } kind = Kind::null;
    std::string_view text;
    std::vector<Reply> items;
    std::size_t used = 0;
};

/// Reads one command, an array of bulk strings, from the front of what has come so far.
Parsed parseCommand(std::string_view in, Command &command);

/// Reads one reply, with no value over `longest`; an array may not hold arrays deeper than one.
Parsed parseReply(std::string_view in, Reply &reply, std::size_t longest);

void addArrayHead(std::string &out, std::size_t words);
void addBulk(std::string &out, std::string_view value);
/// Line breaks in the text would end the line early and are left out.
void addError(std::string &out, std::string_view text);

}  // namespace arrowstile::resp
