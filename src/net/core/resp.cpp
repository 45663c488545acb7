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

    Parsed line(std::string_view &text) {
        const auto end = in_.find(lineEnd, at_);
        if (end == std::string_view::npos) {
            return in_.size() - at_ > longestLine ? Parsed::broken : Parsed::more;
        }
        if (end - at_ > longestLine) return Parsed::broken;
        text = in_.substr(at_, end - at_);
        at_ = end + lineEnd.size();
        return Parsed::whole;
    }

    Parsed bulk(std::size_t size, std::string_view &text) {
        if (in_.size() - at_ < size + lineEnd.size()) return Parsed::more;
        text = in_.substr(at_, size);
        if (in_.substr(at_ + size, lineEnd.size()) != lineEnd) return Parsed::broken;
        at_ += size + lineEnd.size();
        return Parsed::whole;
    }

private:
    std::string_view in_;
    std::size_t at_ = 0;
};

bool readNumber(std::string_view text, long long &value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size();
}

Parsed headed(Reader &in, char mark, std::size_t most, std::size_t &count) {
    std::string_view line;
    if (const auto parsed = in.line(line); parsed != Parsed::whole) return parsed;
    long long number = 0;
    if (line.empty() || line[0] != mark || !readNumber(line.substr(1), number)) return Parsed::broken;
    if (number < 0 || number > static_cast<long long>(most)) return Parsed::broken;
    count = static_cast<std::size_t>(number);
    return Parsed::whole;
}

Parsed readReply(Reader &in, Reply &reply, std::size_t longest, int depth) {
    std::string_view line;
    if (const auto parsed = in.line(line); parsed != Parsed::whole) return parsed;
    if (line.empty()) return Parsed::broken;
    reply.text = line.substr(1);
    long long count = 0;
    switch (line[0]) {
        case '+': reply.kind = Reply::Kind::status; return Parsed::whole;
        case '-': reply.kind = Reply::Kind::error; return Parsed::whole;
        case ':': reply.kind = Reply::Kind::number; break;
        case '$': reply.kind = Reply::Kind::bulk; break;
        case '*': reply.kind = Reply::Kind::array; break;
        default: return Parsed::broken;
    }
    if (!readNumber(reply.text, count)) return Parsed::broken;
    if (reply.kind == Reply::Kind::number) return Parsed::whole;
    const auto most = reply.kind == Reply::Kind::bulk ? longest : mostWords;
    if (count < -1 || count > static_cast<long long>(most)) return Parsed::broken;
    if (count == -1) {
        reply.kind = Reply::Kind::null;
        return Parsed::whole;
    }
    if (reply.kind == Reply::Kind::bulk) return in.bulk(static_cast<std::size_t>(count), reply.text);
    if (depth > 1) return Parsed::broken;
    reply.items.resize(static_cast<std::size_t>(count));
    for (Reply &item : reply.items) {
        if (const auto parsed = readReply(in, item, longest, depth + 1); parsed != Parsed::whole)
            return parsed;
    }
    return Parsed::whole;
}

void addHead(std::string &out, char mark, std::size_t count) {
    char digits[24];
    const auto end = std::to_chars(digits, digits + sizeof digits, count).ptr;
    out.push_back(mark);
    out.append(digits, end).append(lineEnd);
}

}  // namespace

Parsed parseCommand(std::string_view in, Command &command) {
    command.words.clear();
    if (!in.empty() && in[0] != '*') return Parsed::broken;  // before a whole line of it is waited for
    Reader reader(in);
    std::size_t words = 0;
    if (const auto parsed = headed(reader, '*', mostWords, words); parsed != Parsed::whole) return parsed;
    if (words == 0) return Parsed::broken;
    for (; words > 0; --words) {
        std::size_t size = 0;
        std::string_view word;
        if (const auto parsed = headed(reader, '$', longestValue, size); parsed != Parsed::whole) {
            return parsed;
        }
        if (const auto parsed = reader.bulk(size, word); parsed != Parsed::whole) return parsed;
        command.words.push_back(word);
    }
    command.used = reader.used();
    return Parsed::whole;
}

Parsed parseReply(std::string_view in, Reply &reply, std::size_t longest) {
    reply = {};
    Reader reader(in);
    const auto parsed = readReply(reader, reply, longest, 0);
    reply.used = reader.used();
    return parsed;
}

void addArrayHead(std::string &out, std::size_t words) { addHead(out, '*', words); }

void addBulk(std::string &out, std::string_view value) {
    addHead(out, '$', value.size());
    out.append(value).append(lineEnd);
}

void addError(std::string &out, std::string_view text) {
    out.push_back('-');
    for (const char byte : text) {
        if (byte != '\r' && byte != '\n') out.push_back(byte);
    }
    out.append(lineEnd);
}

}  // namespace arrowstile::resp
