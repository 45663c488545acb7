#pragma once

#include <http_parser.h>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace arrowstile {

struct HttpAnswer {
    int status = 0;
    std::string body;
    bool keepsOpen = true;
};

/// Takes answers out of the bytes of one connection, in order.
class HttpAnswers {
public:
    HttpAnswers(std::size_t longestBody, std::function<void(HttpAnswer)> each);
    HttpAnswers(const HttpAnswers &) = delete;
    HttpAnswers &operator=(const HttpAnswers &) = delete;

    /// False once the bytes are no HTTP or a body is too long: the connection is then of no more use.
    bool take(std::string_view bytes);

private:
    static int onBody(http_parser *parser, const char *at, std::size_t size);
    static int onWhole(http_parser *parser);

    http_parser parser_{};
    HttpAnswer now_;
    std::size_t longestBody_;
    std::function<void(HttpAnswer)> each_;
};

std::string httpRequest(std::string_view method, std::string_view target, std::string_view host);

}  // namespace arrowstile
