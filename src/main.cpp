/// \file
/// The gateway program: reads the start document that EDGE_CONFIG names and serves until a planned stop.
#include <malloc.h>
#include <uv.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

#include "net/gateway.hpp"

namespace {

/// Larger blocks of memory go back to the system as soon as they are freed. By default the C library raises
/// this limit with each such block, and small blocks that live on then keep large ones from going back.
constexpr int kMinReturnedBlockBytes = 16 * 1024;

/// Returns the log level of that name; `info` if there is no name (nullptr) or the name is unknown.
arrowstile::Log::Level parseLogLevel(const char *name) {
    using Level = arrowstile::Log::Level;
    const std::string_view text = name != nullptr ? name : "";
    if (text == "error") return Level::error;
    if (text == "warning") return Level::warning;
    return text == "debug" ? Level::debug : Level::info;
}

/// Throws ConfigError if the file can't be opened or its content is no valid start document.
arrowstile::StartDocument readStartDocumentFile() {
    const char *path = std::getenv("EDGE_CONFIG");
    if (path == nullptr)
        throw arrowstile::ConfigError("EDGE_CONFIG is not set; expected the path of the start document");
    std::ifstream file(path);
    if (!file)
        throw arrowstile::ConfigError("can't open the start document '" + std::string(path) +
                                      "' that EDGE_CONFIG names");
    return arrowstile::parseStartDocument(std::string(std::istreambuf_iterator<char>(file), {}));
}

/// An event loop that, at its end, waits until all handles are closed.
struct EventLoop {
    EventLoop() { uv_loop_init(&loop); }
    ~EventLoop() {
        uv_run(&loop, UV_RUN_DEFAULT);
        uv_loop_close(&loop);
    }
    uv_loop_t loop;
};

}  // namespace

int main() {
    mallopt(M_MMAP_THRESHOLD, kMinReturnedBlockBytes);
    std::ios::sync_with_stdio(false);
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGHUP, SIG_IGN);  // A reload is possible only once the event loop runs.
    try {
        arrowstile::StartDocument startDocument = readStartDocumentFile();
        arrowstile::Log log(std::cout, parseLogLevel(std::getenv("ARROWSTILE_LOG")));
        EventLoop eventLoop;
        arrowstile::Gateway(&eventLoop.loop, std::move(startDocument), log, readStartDocumentFile).run();
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "arrowstile: " << error.what() << std::endl;
        return 1;
    }
}
