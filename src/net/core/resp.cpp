#include "resp.hpp"

#include <charconv>

namespace arrowstile::resp {
namespace {

constexpr std::size_t kMaxLineBytes = 4096;  // without the line end
constexpr std::string_view kLineEnd = "\r\n";

/// Reads a buffer from front to back. Each read advances the position only if its result is complete.
class Cursor {
public:
    explicit Cursor(std::string_view in) : in_(in) {}

    std::size_t consumedBytes() const { return position_; }

    /// Reads a line; `text` doesn't include the line end.
    ParseResult readLine(std::string_view &text) {
        const auto end = in_.find(kLineEnd, position_);
        if (end == std::string_view::npos) {
            return in_.size() - position_ > kMaxLineBytes ? ParseResult::malformed : ParseResult::incomplete;
        }
        if (end - position_ > kMaxLineBytes) return ParseResult::malformed;
        text = in_.substr(position_, end - position_);
        position_ = end + kLineEnd.size();
        return ParseResult::complete;
    }

    /// Reads the `size` bytes of a bulk string, whose header has been read, and the line end after them.
    ParseResult readBulk(std::size_t size, std::string_view &text) {
        if (in_.size() - position_ < size + kLineEnd.size()) return ParseResult::incomplete;
        text = in_.substr(position_, size);
        if (in_.substr(position_ + size, kLineEnd.size()) != kLineEnd) return ParseResult::malformed;
        position_ += size + kLineEnd.size();
        return ParseResult::complete;
    }

private:
    std::string_view in_;
    std::size_t position_ = 0;
};

/// Returns false unless the whole text is a decimal integer.
bool parseInteger(std::string_view text, long long &value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size();
}

/// Reads the header line of an array or a bulk string: the type byte and a count of 0 to `maxCount`.
ParseResult readHeader(Cursor &cursor, char typeByte, std::size_t maxCount, std::size_t &count) {
    std::string_view line;
    if (const auto result = cursor.readLine(line); result != ParseResult::complete) return result;
    long long number = 0;
    if (line.empty() || line[0] != typeByte || !parseInteger(line.substr(1), number))
        return ParseResult::malformed;
    if (number < 0 || number > static_cast<long long>(maxCount)) return ParseResult::malformed;
    count = static_cast<std::size_t>(number);
    return ParseResult::complete;
}

/// Reads a reply or an item of one. `depth` is the number of arrays around it.
ParseResult readReply(Cursor &cursor, Reply &reply, std::size_t maxValueBytes, int depth) {
    std::string_view line;
    if (const auto result = cursor.readLine(line); result != ParseResult::complete) return result;
    if (line.empty()) return ParseResult::malformed;
    reply.text = line.substr(1);
    long long count = 0;
    switch (line[0]) {
        case '+': reply.kind = Reply::Kind::status; return ParseResult::complete;
        case '-': reply.kind = Reply::Kind::error; return ParseResult::complete;
        case ':': reply.kind = Reply::Kind::integer; break;
        case '$': reply.kind = Reply::Kind::bulk; break;
        case '*': reply.kind = Reply::Kind::array; break;
        default: return ParseResult::malformed;
    }
    if (!parseInteger(reply.text, count)) return ParseResult::malformed;
    if (reply.kind == Reply::Kind::integer) return ParseResult::complete;
    const auto maxCount = reply.kind == Reply::Kind::bulk ? maxValueBytes : kMaxArrayItemCount;
    if (count < -1 || count > static_cast<long long>(maxCount)) return ParseResult::malformed;
    if (count == -1) {
        reply.kind = Reply::Kind::null;
        return ParseResult::complete;
    }
    if (reply.kind == Reply::Kind::bulk) return cursor.readBulk(static_cast<std::size_t>(count), reply.text);
    if (depth > 1) return ParseResult::malformed;
    reply.items.resize(static_cast<std::size_t>(count));
    for (Reply &item : reply.items) {
        if (const auto result = readReply(cursor, item, maxValueBytes, depth + 1);
            result != ParseResult::complete)
            return result;
    }
    return ParseResult::complete;
}

void appendHeader(std::string &out, char typeByte, std::size_t count) {
    char digits[24];
    const auto end = std::to_chars(digits, digits + sizeof digits, count).ptr;
    out.push_back(typeByte);
    out.append(digits, end).append(kLineEnd);
}

}  // namespace

ParseResult parseCommand(std::string_view in, Command &command) {
    command.arguments.clear();
    // Other protocols are rejected at their first byte, without waiting for a whole line.
    if (!in.empty() && in[0] != '*') return ParseResult::malformed;
    Cursor cursor(in);
    std::size_t remainingCount = 0;
    if (const auto result = readHeader(cursor, '*', kMaxArrayItemCount, remainingCount);
        result != ParseResult::complete)
        return result;
    if (remainingCount == 0) return ParseResult::malformed;
    for (; remainingCount > 0; --remainingCount) {
        std::size_t size = 0;
        std::string_view argument;
        if (const auto result = readHeader(cursor, '$', kMaxCommandValueBytes, size);
            result != ParseResult::complete) {
            return result;
        }
        if (const auto result = cursor.readBulk(size, argument); result != ParseResult::complete)
            return result;
        command.arguments.push_back(argument);
    }
    command.consumedBytes = cursor.consumedBytes();
    return ParseResult::complete;
}

ParseResult parseReply(std::string_view in, Reply &reply, std::size_t maxValueBytes) {
    reply = {};
    Cursor cursor(in);
    const auto result = readReply(cursor, reply, maxValueBytes, 0);
    reply.consumedBytes = cursor.consumedBytes();
    return result;
}

void appendArrayHeader(std::string &out, std::size_t itemCount) { appendHeader(out, '*', itemCount); }

void appendBulk(std::string &out, std::string_view value) {
    appendHeader(out, '$', value.size());
    out.append(value).append(kLineEnd);
}

void appendError(std::string &out, std::string_view text) {
    out.push_back('-');
    for (const char byte : text) {
        if (byte != '\r' && byte != '\n') out.push_back(byte);
    }
    out.append(kLineEnd);
}

}  // namespace arrowstile::resp
