/// \file
/// HTTP/1.1 client side for the counter and discovery: formats requests and parses responses. It does no I/O.
#pragma once

#include <http_parser.h>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace arrowstile {

/// A complete response.
struct HttpResponse {
    int status = 0;           ///< status code, never 1xx
    std::string body;         ///< with any chunked transfer encoding removed
    bool isKeepAlive = true;  ///< the connection may be used for another request
};

/// Parses the responses that one connection receives, in order, from pieces of any size. One parser serves
/// one connection.
class HttpResponseParser {
public:
    /// `onResponse` is called within parse(), once for each complete response. Interim responses (1xx) are
    /// skipped.
    HttpResponseParser(std::size_t maxBodyBytes, std::function<void(HttpResponse)> onResponse);
    HttpResponseParser(const HttpResponseParser &) = delete;
    HttpResponseParser &operator=(const HttpResponseParser &) = delete;

    /// Parses the next bytes received. Returns false once they aren't valid HTTP or a body is longer than
    /// `maxBodyBytes`: the connection is then of no further use.
    bool parse(std::string_view bytes);

private:
    static int onBody(http_parser *parser, const char *at, std::size_t size);
    static int onMessageComplete(http_parser *parser);

    http_parser parser_{};
    HttpResponse current_;
    std::size_t maxBodyBytes_;
    std::function<void(HttpResponse)> onResponse_;
};

/// Returns a request without a body. `target` is the path with its query, `host` the value of the Host
/// header.
std::string formatHttpRequest(std::string_view method, std::string_view target, std::string_view host);

}  // namespace arrowstile
