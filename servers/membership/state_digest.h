#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace teaselpitch {

/// Order-independent hashes over a set of entries, in groups of leaves. Two sets with equal hashes are taken
/// as equal; a differing leaf holds about six entries at 99,000 targets.
class state_digest {
public:
    static constexpr std::size_t group_count = 64;
    static constexpr std::size_t leaves_per_group = 256;
    static constexpr std::size_t leaf_count = group_count * leaves_per_group;

    state_digest() : leaves_(leaf_count) {}

    /// The leaf of a subject, by the hash of its name.
    static std::uint32_t leaf_of(std::uint64_t name_hash) {
        return static_cast<std::uint32_t>(name_hash % leaf_count);
    }

    /// Adds an entry, or removes it when it was added before.
    void toggle(std::uint64_t name_hash, std::uint64_t entry_hash) {
        const std::uint32_t leaf = leaf_of(name_hash);
        leaves_[leaf] ^= static_cast<std::uint32_t>(entry_hash);
        groups_[leaf / leaves_per_group] ^= entry_hash;
    }

    [[nodiscard]] std::span<const std::uint64_t, group_count> groups() const { return groups_; }
    [[nodiscard]] std::span<const std::uint32_t> leaves(std::size_t group) const {
        return std::span(leaves_).subspan(group * leaves_per_group, leaves_per_group);
    }

private:
    std::vector<std::uint32_t> leaves_;
    std::array<std::uint64_t, group_count> groups_{};
};

}  // namespace teaselpitch
