#include <iostream>
#include <string_view>

#include "commandline.h"
#include "programs.h"

namespace
{

struct Program {
    std::string_view name;
    int (*run)(int argc, char **argv);
    std::string_view purpose;
};

constexpr Program Programs[] = {
    { "log", standin::runLog, "the platform's log service" },
    { "vms", standin::runVms, "the platform's list of VMs" },
    { "target", standin::runTarget, "targets of a service" },
    { "load", standin::runLoad, "a load generator" },
};

constexpr int UsageStatus = 2;

void printUsage(std::ostream &out)
{
    out << "Usage: mulberryplank-standin PROGRAM [FLAGS]; PROGRAM --help lists its flags\n";
    for (const Program &program : Programs) {
        out << "  " << program.name << "\t" << program.purpose << "\n";
    }
}

int runProgram(std::string_view name, int argc, char **argv)
{
    for (const Program &program : Programs) {
        if (program.name == name) {
            return program.run(argc, argv);
        }
    }
    printUsage(std::cerr);
    return UsageStatus;
}

} // namespace

int main(int argc, char **argv)
{
    const std::string_view name = argc > 1 ? argv[1] : "";
    if (name == "--help") {
        printUsage(std::cout);
        return 0;
    }
    try {
        return runProgram(name, argc - 1, argv + 1);
    } catch (const standin::UsageError &error) {
        std::cerr << "mulberryplank-standin: " << error.what() << "\n";
        return UsageStatus;
    } catch (const std::exception &error) {
        std::cerr << "mulberryplank-standin: " << error.what() << "\n";
        return 1;
    }
}
