#include <iostream>
#include <string>
#include <vector>

#include "main/ctl/ctl_app.h"

int main(int argc, char** argv) {
    return teaselpitch::run_ctl(std::vector<std::string>(argv + 1, argv + argc), std::cout, std::cerr);
}
