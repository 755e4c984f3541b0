#pragma once

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include <boost/intrusive/list.hpp>

#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// Counts the messages of one sender within one process run. Starts at 1.
using Sequence = std::uint64_t;

// Tells a sequence number that was seen before, or is too old to tell, from a new one. Numbers may arrive out of order
// by up to Span.
class SequenceWindow
{
public:
    static constexpr std::size_t Span = 256;

    // Returns true exactly once per number; false for 0 and for numbers Span or more below the highest one.
    bool accept(Sequence sequence);

private:
    Sequence m_highest = 0;
    std::bitset<Span> m_seen; // bit i stands for m_highest - i
};

// One SequenceWindow per sender incarnation, for at most `capacity` of them; the one unheard from for longest makes
// way.
class ReplayGuard
{
public:
    explicit ReplayGuard(std::size_t capacity);
    ~ReplayGuard();
    ReplayGuard(const ReplayGuard &) = delete;
    ReplayGuard &operator=(const ReplayGuard &) = delete;

    // Returns true if the message is new and counts it as seen.
    bool accept(Incarnation sender, Sequence sequence);

    // Returns the number of senders remembered.
    std::size_t size() const;

private:
    struct Sender : boost::intrusive::list_base_hook<> {
        Incarnation incarnation = 0;
        SequenceWindow window;
    };

    std::size_t m_capacity;
    std::unordered_map<Incarnation, Sender> m_senders;
    boost::intrusive::list<Sender> m_byLastReceived; // the latest heard from first
};

} // namespace mulberryplank
