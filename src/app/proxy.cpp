#include "mulberryplank/app/proxy.h"

#include <iostream>

namespace mulberryplank
{

int runProxy(const Settings &settings)
{
    std::cerr << "proxy " << settings.vm.value() << ": not built yet\n";
    return 1;
}

} // namespace mulberryplank
