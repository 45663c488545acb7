/// \file
/// The program's log.
#pragma once

#include <ostream>
#include <string_view>

namespace arrowstile {

/// Writes lines of text for the operator to a stream. Each line starts with the name of its level.
class Log {
public:
    enum class Level { error, warning, info, debug };

    /// Lines less severe than `level` are discarded without being formatted. `out` must outlive the log.
    Log(std::ostream &out, Level level) : out_(out), level_(level) {}

    /// Writes one line that consists of `parts`, and flushes the stream.
    template <class... Parts>
    void write(Level level, const Parts &...parts) {
        static constexpr std::string_view levelNames[] = {"error", "warning", "info", "debug"};
        if (level > level_) return;
        out_ << levelNames[static_cast<int>(level)] << ' ';
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
