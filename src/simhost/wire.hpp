#pragma once

#include <arrowstile/actions.hpp>
#include <arrowstile/events.hpp>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace arrowstile::simhost {

struct WireError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

using InstanceNumber = Id<struct InstanceTag, std::uint32_t>;

struct Started {
    std::uint64_t seed = 0;
    std::string settings;
};

struct Stopped {};

struct Happening {
    InstanceNumber instance;
    std::variant<Started, Stopped, Event> what;
};

struct Batch {
    Timestamp now{};
    std::vector<Happening> happenings;
};

/// The longest frame that is believed; anything above is taken for a broken length.
constexpr std::uint32_t longestFrame = 1u << 30;

/// Decodes what follows the length field of a frame.
Batch decodeBatch(std::string_view body);

class Reply {
public:
    void add(InstanceNumber instance, const Action &action);
    std::string frame() const;

private:
    std::string body_;
};

}  // namespace arrowstile::simhost
