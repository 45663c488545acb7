#pragma once

#include <ostream>
#include <string_view>

namespace arrowstile {

/// Lines for whoever runs the gatekeeper; what lies under the level costs nothing.
class Log {
public:
    enum class Level { error, warning, info, debug };

    Log(std::ostream &out, Level level) : out_(out), level_(level) {}

    template <class... Parts>
    void write(Level level, const Parts &...parts) {
        static constexpr std::string_view names[] = {"error", "warning", "info", "debug"};
        if (level > level_) return;
        out_ << names[static_cast<int>(level)] << ' ';
        (out_ << ... << parts) << std::endl;
    }

    template <class... Parts>
    void error(const Parts &...parts) {
        write(Level::error, parts...);
    }
    template <class... Parts>
    void warning(const Parts &...parts) {
        write(Level::warning, parts...);
    }
    template <class... Parts>
    void info(const Parts &...parts) {
        write(Level::info, parts...);
    }
    template <class... Parts>
    void debug(const Parts &...parts) {
        write(Level::debug, parts...);
    }

private:
    std::ostream &out_;
    Level level_;
};

}  // namespace arrowstile
