#include "mulberryplank/policy/memberrank.h"

#include <xxhash.h>

namespace mulberryplank
{

namespace internal
{

namespace
{

XXH64_hash_t hashOfVm(const Member &member)
{
    const std::string &vm = member.vm.value();
    return XXH3_64bits(vm.data(), vm.size());
}

} // namespace

} // namespace internal

bool ranksBefore(const Member &one, const Member &other)
{
    if (one.capacity != other.capacity) {
        return one.capacity > other.capacity;
    }
    const XXH64_hash_t hash = internal::hashOfVm(one);
    const XXH64_hash_t otherHash = internal::hashOfVm(other);
    return hash != otherHash ? hash < otherHash : one.incarnation > other.incarnation;
}

} // namespace mulberryplank
