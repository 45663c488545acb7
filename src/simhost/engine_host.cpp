#include "engine_host.hpp"

#include <istream>
#include <ostream>

#include "settings.hpp"

namespace arrowstile::simhost {
namespace {

/// Number of bytes by which the buffer for a frame grows while the frame is read.
constexpr std::size_t kReadStepBytes = 1u << 20;

/// Reads `count` bytes, or fewer if the input ends before. The buffer grows in steps as the bytes come in, so
/// that a corrupt length field doesn't allocate its whole size at once.
std::string readUpTo(std::istream &in, std::size_t count) {
    std::string bytes;
    while (bytes.size() < count && in) {
        const std::size_t oldSize = bytes.size();
        bytes.resize(oldSize + std::min<std::size_t>(count - oldSize, kReadStepBytes));
        in.read(bytes.data() + oldSize, static_cast<std::streamsize>(bytes.size() - oldSize));
        bytes.resize(oldSize + static_cast<std::size_t>(in.gcount()));
    }
    return bytes;
}

}  // namespace

ReplyFrame EngineHost::process(const RequestFrame &request) {
    ReplyFrame reply;
    for (const auto &[instance, content] : request.records) {
        if (const auto *start = std::get_if<StartInstance>(&content)) {
            engines_.insert_or_assign(instance,
                                      DecisionEngine(readSettings(start->settings).engine, start->seed));
        } else if (std::holds_alternative<StopInstance>(content)) {
            engines_.erase(instance);
        } else if (const auto found = engines_.find(instance); found == engines_.end()) {
            throw FrameError("an event for instance " + std::to_string(instance.value) +
                             ", which is not running");
        } else {
            for (const auto &action : found->second.handle(request.now, std::get<Event>(content))) {
                reply.add(instance, action);
            }
        }
    }
    return reply;
}

int serve(std::istream &in, std::ostream &out, std::ostream &errors) {
    EngineHost host;
    std::uint64_t frameIndex = 0;
    try {
        for (;; ++frameIndex) {
            const std::string lengthField = readUpTo(in, kLengthFieldBytes);
            if (lengthField.empty()) {
                return 0;
            }
            std::uint32_t bodyBytes = 0;
            for (const char byte : lengthField) {
                bodyBytes = bodyBytes << 8 | static_cast<unsigned char>(byte);
            }
            if (lengthField.size() < kLengthFieldBytes) {
                throw FrameError("the input ends in the middle of a length field");
            }
            if (bodyBytes > kMaxFrameBytes) {
                throw FrameError("a frame of " + std::to_string(bodyBytes) + " bytes is too long");
            }
            const std::string body = readUpTo(in, bodyBytes);
            if (body.size() < bodyBytes) {
                throw FrameError("the input ends in the middle of a frame");
            }
            const std::string reply = host.process(decodeRequestFrame(body)).encode();
            out.write(reply.data(), static_cast<std::streamsize>(reply.size()));
            out.flush();
        }
    } catch (const std::runtime_error &error) {
        errors << "arrowstile_simhost: frame " << frameIndex << ": " << error.what() << std::endl;
        return 1;
    }
}

}  // namespace arrowstile::simhost
