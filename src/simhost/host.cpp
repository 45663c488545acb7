#include "host.hpp"

#include <istream>
#include <ostream>

#include "settings.hpp"

namespace arrowstile::simhost {
namespace {

/// Reads as much as there is, in steps, so that a broken length does not claim its memory at once.
std::string readUpTo(std::istream &in, std::size_t count) {
    std::string bytes;
    while (bytes.size() < count && in) {
        const std::size_t had = bytes.size();
        bytes.resize(had + std::min<std::size_t>(count - had, 1u << 20));
        in.read(bytes.data() + had, static_cast<std::streamsize>(bytes.size() - had));
        bytes.resize(had + static_cast<std::size_t>(in.gcount()));
    }
    return bytes;
}

}  // namespace

Reply Host::answer(const Batch &batch) {
    Reply reply;
    for (const auto &[instance, what] : batch.happenings) {
        if (const auto *started = std::get_if<Started>(&what)) {
            gatekeepers_.insert_or_assign(
                instance, DecisionEngine(readSettings(started->settings).engine, started->seed));
        } else if (std::holds_alternative<Stopped>(what)) {
            gatekeepers_.erase(instance);
        } else if (const auto found = gatekeepers_.find(instance); found == gatekeepers_.end()) {
            throw WireError("an event for instance " + std::to_string(instance.value) +
                            ", which is not running");
        } else {
            for (const auto &action : found->second.handle(batch.now, std::get<Event>(what))) {
                reply.add(instance, action);
            }
        }
    }
    return reply;
}

int serve(std::istream &in, std::ostream &out, std::ostream &complaints) {
    Host host;
    std::uint64_t frame = 0;
    try {
        for (;; ++frame) {
            const std::string head = readUpTo(in, 4);
            if (head.empty()) {
                return 0;
            }
            std::uint32_t size = 0;
            for (const char byte : head) {
                size = size << 8 | static_cast<unsigned char>(byte);
            }
            if (head.size() < 4) {
                throw WireError("the input ends in the middle of a length");
            }
            if (size > longestFrame) {
                throw WireError("a frame of " + std::to_string(size) + " bytes is too long");
            }
            const std::string body = readUpTo(in, size);
            if (body.size() < size) {
                throw WireError("the input ends in the middle of a frame");
            }
            const std::string reply = host.answer(decodeBatch(body)).frame();
            out.write(reply.data(), static_cast<std::streamsize>(reply.size()));
            out.flush();
        }
    } catch (const std::runtime_error &error) {
        complaints << "arrowstile_simhost: frame " << frame << ": " << error.what() << std::endl;
        return 1;
    }
}

}  // namespace arrowstile::simhost
