#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace teaselpitch {

/// Order-independent hashes over a set of entries, arranged in groups of leaves. Sets with equal hashes are
/// treated as equal. At 99,000 targets a leaf has about six entries.
class state_digest {
public:
    static constexpr std::size_t group_count = 64;
    static constexpr std::size_t leaves_per_group = 256;
    static constexpr std::size_t leaf_count = group_count * leaves_per_group;

    state_digest() : leaves_(leaf_count) {}

    /// Returns the leaf of a subject from the hash of its name.
    static std::uint32_t leaf_of(std::uint64_t name_hash) {
        return static_cast<std::uint32_t>(name_hash % leaf_count);
    }

    /// Adds an entry, or removes it if it is present.
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
