#include "resp.hpp"

#include <charconv>

namespace arrowstile::resp {
namespace {

constexpr std::size_t longestLine = 4096;
constexpr std::string_view lineEnd = "\r\n";

/// Takes parts off the front; the first that is missing or wrong settles the result.
class Reader {
public:
    explicit Reader(std::string_view in) : in_(in) {}

    std::size_t used() const { return at_; }

    ParseResult line(std::string_view &text) {
        const auto end = in_.find(lineEnd, at_);
        if (end == std::string_view::npos) {
            return in_.size() - at_ > longestLine ? ParseResult::malformed : ParseResult::incomplete;
        }
        if (end - at_ > longestLine) return ParseResult::malformed;
        text = in_.substr(at_, end - at_);
        at_ = end + lineEnd.size();
        return ParseResult::complete;
    }

    ParseResult bulk(std::size_t size, std::string_view &text) {
        if (in_.size() - at_ < size + lineEnd.size()) return ParseResult::incomplete;
        text = in_.substr(at_, size);
        if (in_.substr(at_ + size, lineEnd.size()) != lineEnd) return ParseResult::malformed;
        at_ += size + lineEnd.size();
        return ParseResult::complete;
    }

private:
    std::string_view in_;
    std::size_t at_ = 0;
};

bool readNumber(std::string_view text, long long &value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size();
}

ParseResult headed(Reader &in, char mark, std::size_t most, std::size_t &count) {
    std::string_view line;
    if (const auto parsed = in.line(line); parsed != ParseResult::complete) return parsed;
    long long number = 0;
    if (line.empty() || line[0] != mark || !readNumber(line.substr(1), number)) return ParseResult::malformed;
    if (number < 0 || number > static_cast<long long>(most)) return ParseResult::malformed;
    count = static_cast<std::size_t>(number);
    return ParseResult::complete;
}

ParseResult readReply(Reader &in, Reply &reply, std::size_t maxValueBytes, int depth) {
    std::string_view line;
    if (const auto parsed = in.line(line); parsed != ParseResult::complete) return parsed;
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
    if (!readNumber(reply.text, count)) return ParseResult::malformed;
    if (reply.kind == Reply::Kind::integer) return ParseResult::complete;
    const auto most = reply.kind == Reply::Kind::bulk ? maxValueBytes : kMaxArrayItemCount;
    if (count < -1 || count > static_cast<long long>(most)) return ParseResult::malformed;
    if (count == -1) {
        reply.kind = Reply::Kind::null;
        return ParseResult::complete;
    }
    if (reply.kind == Reply::Kind::bulk) return in.bulk(static_cast<std::size_t>(count), reply.text);
    if (depth > 1) return ParseResult::malformed;
    reply.items.resize(static_cast<std::size_t>(count));
    for (Reply &item : reply.items) {
        if (const auto parsed = readReply(in, item, maxValueBytes, depth + 1);
            parsed != ParseResult::complete)
            return parsed;
    }
    return ParseResult::complete;
}

void addHead(std::string &out, char mark, std::size_t count) {
    char digits[24];
    const auto end = std::to_chars(digits, digits + sizeof digits, count).ptr;
    out.push_back(mark);
    out.append(digits, end).append(lineEnd);
}

}  // namespace

ParseResult parseCommand(std::string_view in, Command &command) {
    command.arguments.clear();
    if (!in.empty() && in[0] != '*')
        return ParseResult::malformed;  // before a whole line of it is waited for
    Reader reader(in);
    std::size_t words = 0;
    if (const auto parsed = headed(reader, '*', kMaxArrayItemCount, words); parsed != ParseResult::complete)
        return parsed;
    if (words == 0) return ParseResult::malformed;
    for (; words > 0; --words) {
        std::size_t size = 0;
        std::string_view word;
        if (const auto parsed = headed(reader, '$', kMaxCommandValueBytes, size);
            parsed != ParseResult::complete) {
            return parsed;
        }
        if (const auto parsed = reader.bulk(size, word); parsed != ParseResult::complete) return parsed;
        command.arguments.push_back(word);
    }
    command.consumedBytes = reader.used();
    return ParseResult::complete;
}

ParseResult parseReply(std::string_view in, Reply &reply, std::size_t maxValueBytes) {
    reply = {};
    Reader reader(in);
    const auto parsed = readReply(reader, reply, maxValueBytes, 0);
    reply.consumedBytes = reader.used();
    return parsed;
}

void appendArrayHeader(std::string &out, std::size_t itemCount) { addHead(out, '*', itemCount); }

void appendBulk(std::string &out, std::string_view value) {
    addHead(out, '$', value.size());
    out.append(value).append(lineEnd);
}

void appendError(std::string &out, std::string_view text) {
    out.push_back('-');
    for (const char byte : text) {
        if (byte != '\r' && byte != '\n') out.push_back(byte);
    }
    out.append(lineEnd);
}

}  // namespace arrowstile::resp
