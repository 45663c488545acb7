#include <uv.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

#include "net/gateway.hpp"

namespace {

arrowstile::Log::Level levelOf(const char *word) {
    using Level = arrowstile::Log::Level;
    const std::string_view text = word != nullptr ? word : "";
    if (text == "error") return Level::error;
    if (text == "warning") return Level::warning;
    return text == "debug" ? Level::debug : Level::info;
}

arrowstile::StartDocument readStartFile() {
    const char *path = std::getenv("EDGE_CONFIG");
    if (path == nullptr) throw arrowstile::ConfigError("EDGE_CONFIG names no start document");
    std::ifstream file(path);
    if (!file) throw arrowstile::ConfigError("can't read the start document '" + std::string(path) + "'");
    return arrowstile::parseStartDocument(std::string(std::istreambuf_iterator<char>(file), {}));
}

struct Loop {
    Loop() { uv_loop_init(&loop); }
    ~Loop() {
        uv_run(&loop, UV_RUN_DEFAULT);
        uv_loop_close(&loop);
    }
    uv_loop_t loop;
};

}  // namespace

int main() {
    std::ios::sync_with_stdio(false);
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGHUP, SIG_IGN);  // until there is a loop that can take it
    try {
        arrowstile::StartDocument start = readStartFile();
        arrowstile::Log log(std::cout, levelOf(std::getenv("ARROWSTILE_LOG")));
        Loop loop;
        arrowstile::Gateway(&loop.loop, std::move(start), log, readStartFile).run();
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "arrowstile: " << error.what() << std::endl;
        return 1;
    }
}
