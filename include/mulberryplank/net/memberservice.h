#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "mulberryplank/base/event.h"
#include "mulberryplank/net/peertransport.h"
#include "mulberryplank/policy/membership.h"

namespace mulberryplank
{

struct MemberServiceSettings {
    MembershipSettings membership;
    Duration tickInterval = Millis(100);
    Duration exchangeTimeout = Seconds(5);
    // The same while no other member is known: a seed may be gone without a sign, and others can be asked.
    Duration joinTimeout = Millis(600);
    int maxParallelJoins = 3; // seeds that are asked beside each other then
    std::function<void()>
        onFirstMember; // called when a first other member is known, the list of members being published
    Duration leavePropagationTime = Seconds(2); // how long announceLeave() waits for the news to spread
};

// Runs Membership over a PeerTransport: timer, datagrams, and exchanges of whole lists over TCP. Everything but the
// queries belongs to the thread that runs the io_context.
class MemberService
{
public:
    // What this process says of itself.
    struct OwnState {
        Offset applied = 0;
        bool ready = false;
    };
    using OwnStateSource = std::function<OwnState()>;

    // Takes over PeerKind::Membership on `transport`, so it has to be constructed before the transport starts. `self`'s
    // peer address is taken from the transport. `ownState` is asked on every tick. `seed` should be random.
    MemberService(boost::asio::io_context &context,
                  PeerTransport &transport,
                  Member self,
                  MemberServiceSettings settings,
                  std::uint64_t seed,
                  OwnStateSource ownState,
                  EventSink events);
    ~MemberService();
    MemberService(const MemberService &) = delete;
    MemberService &operator=(const MemberService &) = delete;

    // Begins to look for other members. To be called after the transport has started.
    void start();

    // Falls silent. The others will find that out for themselves, unless announceLeave() was called before.
    void stop();

    // Tells the others that this process leaves, and returns when the news has had time to spread. The process still
    // answers probes until stop().
    boost::asio::awaitable<void> announceLeave();

    // Replaces the peer addresses to join through, of which the first `preferred` are asked before the others.
    void setSeeds(std::vector<Endpoint> seeds, std::size_t preferred);

    // Replaces the hints from the VM list.
    void setVmHints(std::unordered_map<VmName, VmHint> hints);

    // Returns the members as of the last tick but a few, this process first, the dead as such. From any thread.
    std::vector<Member> members() const;

    // Returns the same without a copy. The list never changes once returned. From any thread.
    std::shared_ptr<const std::vector<Member>> snapshot() const;

private:
    struct Private;
    std::shared_ptr<Private> m_d; // shared with the coroutines under way, which outlive stop() by a moment
};

} // namespace mulberryplank
