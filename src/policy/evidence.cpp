#include "mulberryplank/policy/evidence.h"

#include <xxhash.h>

namespace mulberryplank
{

PeerKey peerKey(const PeerId &peer)
{
    return XXH64(peer.vm.value().data(), peer.vm.value().size(), peer.incarnation);
}

TargetId targetId(const TargetName &name)
{
    return XXH64(name.value().data(), name.value().size(), 0);
}

} // namespace mulberryplank
