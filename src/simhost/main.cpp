#include <iostream>

#include "host.hpp"

int main() {
    std::ios::sync_with_stdio(false);
    return arrowstile::simhost::serve(std::cin, std::cout, std::cerr);
}
