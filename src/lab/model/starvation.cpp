#include "starvation.hpp"

#include <cstdio>
#include <numeric>

namespace arrowstile::lab {

double sumOf(const std::vector<double> &spans) { return std::accumulate(spans.begin(), spans.end(), 0.0); }

std::vector<std::string> starved(const std::vector<Fared> &groups, double least, double fewest,
                                 Duration span) {
    std::vector<std::string> found;
    for (const Fared &one : groups) {
        const double could = sumOf(one.could), served = sumOf(one.served);
        if (could < fewest || served >= least * could) continue;
        std::size_t worst = 0;
        double most = -1;
        for (std::size_t at = 0; at < one.could.size(); ++at) {
            const double missing = one.could[at] - one.served[at];
            if (missing > most) most = missing, worst = at;
        }
        const double from = inMs(span) / 1000 * static_cast<double>(worst);
        char text[256];
        std::snprintf(text, sizeof text,
                      "%s: %.3f of what could have been served (least %.3f), worst from %g s on",
                      one.group.c_str(), served / could, least, from);
        found.emplace_back(text);
    }
    return found;
}

}  // namespace arrowstile::lab
