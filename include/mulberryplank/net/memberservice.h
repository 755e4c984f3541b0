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
    Duration exchangeTimeout = Seconds(5); // for the response of a member to begin, and for the rest of any response
    // For the response of a seed to begin. It is short because a seed may have stopped without notice and other seeds
    // can be queried.
    Duration seedResponseTimeout = Millis(600);
    int maxParallelSeedQueries = 3;
    // Called when the first other member is known, after the list of members was published.
    std::function<void()> onFirstMember;
    Duration leavePropagationTime = Seconds(2); // how long announceLeave() waits for propagation
};

// Runs Membership over a PeerTransport: a timer, datagrams, and exchanges of whole lists over TCP. Everything except
// members() and snapshot() must be called from the thread that runs the io_context.
class MemberService
{
public:
    // What this process reports about itself.
    struct OwnState {
        Offset applied = 0;
        bool ready = false;
    };
    using OwnStateSource = std::function<OwnState()>;

    // Registers the handlers for PeerKind::Membership on `transport`, so it must be constructed before the transport
    // starts. The peer address of `self` is taken from the transport. `ownState` is called on every tick. `seed` should
    // be random.
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

    // Starts looking for other members. Must be called after the transport has started.
    void start();

    // Stops sending and responding. The other members detect that by themselves unless announceLeave() was called
    // before.
    void stop();

    // Announces that this process leaves, and returns after leavePropagationTime. The process still responds to probes
    // until stop().
    boost::asio::awaitable<void> announceLeave();

    // Replaces the peer addresses to join through. The first `preferred` of them are queried before the others.
    void setSeeds(std::vector<Endpoint> seeds, std::size_t preferred);

    // Returns whether `seed` was queried and no live member is known at its address.
    bool isUnresponsiveSeed(const Endpoint &seed) const;

    // Replaces the hints from the VM list.
    void setVmHints(std::unordered_map<VmName, VmHint> hints);

    // Returns the members as last published, this process first, including dead members with their status. The list may
    // be a few ticks old. Thread-safe.
    std::vector<Member> members() const;

    // Returns the same list without copying it. A returned list never changes. Thread-safe.
    std::shared_ptr<const std::vector<Member>> snapshot() const;

private:
    struct Private;
    std::shared_ptr<Private> m_d; // shared with running coroutines, which may end shortly after stop()
};

} // namespace mulberryplank
