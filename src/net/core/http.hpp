#pragma once

#include <http_parser.h>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace arrowstile {

struct HttpResponse {
    int status = 0;
    std::string body;
    bool isKeepAlive = true;
};

/// Takes answers out of the bytes of one connection, in order.
class HttpResponseParser {
public:
    HttpResponseParser(std::size_t maxBodyBytes, std::function<void(HttpResponse)> onResponse);
    HttpResponseParser(const HttpResponseParser &) = delete;
    HttpResponseParser &operator=(const HttpResponseParser &) = delete;

    /// False once the bytes are no HTTP or a body is too long: the connection is then of no more use.
    bool parse(std::string_view bytes);

private:
    static int onBody(http_parser *parser, const char *at, std::size_t size);
    static int onMessageComplete(http_parser *parser);

    http_parser parser_{};
    HttpResponse current_;
    std::size_t maxBodyBytes_;
    std::function<void(HttpResponse)> onResponse_;
};

std::string formatHttpRequest(std::string_view method, std::string_view target, std::string_view host);

}  // namespace arrowstile
