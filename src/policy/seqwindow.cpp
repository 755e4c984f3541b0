#include "mulberryplank/policy/seqwindow.h"

namespace mulberryplank
{

bool SequenceWindow::accept(Sequence sequence)
{
    if (sequence == 0) {
        return false;
    }
    if (sequence > m_highest) {
        const Sequence step = sequence - m_highest;
        m_seen = step < Span ? m_seen << step : std::bitset<Span> {};
        m_seen.set(0);
        m_highest = sequence;
        return true;
    }
    const Sequence age = m_highest - sequence;
    if (age >= Span || m_seen.test(age)) {
        return false;
    }
    m_seen.set(age);
    return true;
}

ReplayGuard::ReplayGuard(std::size_t capacity)
    : m_capacity(capacity)
{
}

ReplayGuard::~ReplayGuard()
{
    m_byLastReceived.clear();
}

bool ReplayGuard::accept(Incarnation sender, Sequence sequence)
{
    const auto [found, added] = m_senders.try_emplace(sender);
    Sender &entry = found->second;
    if (added) {
        entry.incarnation = sender;
    } else {
        m_byLastReceived.erase(m_byLastReceived.iterator_to(entry));
    }
    m_byLastReceived.push_front(entry);
    if (m_senders.size() > m_capacity) {
        const Incarnation oldest = m_byLastReceived.back().incarnation;
        m_byLastReceived.pop_back();
        m_senders.erase(oldest);
    }
    return entry.window.accept(sequence);
}

std::size_t ReplayGuard::size() const
{
    return m_senders.size();
}

} // namespace mulberryplank
