#include "http.hpp"

#include <utility>

namespace arrowstile {

HttpResponseParser::HttpResponseParser(std::size_t maxBodyBytes, std::function<void(HttpResponse)> onResponse)
    : maxBodyBytes_(maxBodyBytes), onResponse_(std::move(onResponse)) {
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
}

bool HttpResponseParser::parse(std::string_view bytes) {
    if (bytes.empty()) return true;
    http_parser_settings callbacks{};
    callbacks.on_body = onBody;
    callbacks.on_message_complete = onMessageComplete;
    return http_parser_execute(&parser_, &callbacks, bytes.data(), bytes.size()) == bytes.size() &&
           HTTP_PARSER_ERRNO(&parser_) == HPE_OK;
}

int HttpResponseParser::onBody(http_parser *parser, const char *at, std::size_t size) {
    auto &self = *static_cast<HttpResponseParser *>(parser->data);
    if (self.current_.body.size() + size > self.maxBodyBytes_) return 1;  // stops the parser with an error
    self.current_.body.append(at, size);
    return 0;
}

int HttpResponseParser::onMessageComplete(http_parser *parser) {
    auto &self = *static_cast<HttpResponseParser *>(parser->data);
    if (parser->status_code / 100 == 1) {  // interim response; the final one follows
        self.current_ = {};
        return 0;
    }
    self.current_.status = static_cast<int>(parser->status_code);
    self.current_.isKeepAlive = http_should_keep_alive(parser) != 0;
    self.onResponse_(std::exchange(self.current_, {}));
    return 0;
}

std::string formatHttpRequest(std::string_view method, std::string_view target, std::string_view host) {
    std::string text(method);
    text.append(" ").append(target).append(" HTTP/1.1\r\nHost: ").append(host);
    if (method != "GET") text.append("\r\nContent-Length: 0");
    return text.append("\r\n\r\n");
}

}  // namespace arrowstile
