#include "mulberryplank/policy/targetkey.h"

#include <xxhash.h>

namespace mulberryplank
{

TargetKey targetKey(const TargetName &target)
{
    return XXH3_64bits(target.value().data(), target.value().size());
}

} // namespace mulberryplank
