#include "host.hpp"

#include <iostream>

int main() {
    std::ios::sync_with_stdio(false);
    return arrowstile::simhost::serve(std::cin, std::cout, std::cerr);
}
