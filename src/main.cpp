#include <iostream>

#include "mulberryplank/app/command.h"
#include "mulberryplank/app/settings.h"

int main(int argc, char **argv)
{
    using namespace mulberryplank;
    CommandContext context { processEnvironment(), processVariables(), std::cout, std::cerr };
    return static_cast<int>(runCommand(argc, argv, context));
}
