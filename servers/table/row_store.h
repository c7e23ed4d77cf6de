#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <iterator>
#include <memory>
#include <string_view>
#include <vector>

#include "core/identity.h"
#include "servers/table/rows.h"

namespace teaselpitch {

/// Rows of one kind by key, hashed into shards and sorted within a shard. Copies share their shards; a change
/// copies only the shards that it modifies.
template <typename Row>
class row_store {
public:
    struct change {
        Row row;
        bool remove = false;
    };

    [[nodiscard]] const Row* find(row_key key) const {
        const shard* rows = shards_[shard_index(key)].get();
        if (rows == nullptr) {
            return nullptr;
        }
        const auto found = lower_bound(*rows, key);
        return found != rows->end() && found->key() == key ? &*found : nullptr;
    }

    [[nodiscard]] std::size_t size() const { return size_; }

    /// Visits every row in unspecified order.
    template <typename Visitor>
    void for_each(Visitor&& visit) const {
        for (const auto& rows : shards_) {
            if (rows) {
                std::for_each(rows->begin(), rows->end(), visit);
            }
        }
    }

    /// Visits the rows of one service. Only for service rows, whose shard depends only on the service.
    template <typename Visitor>
    void for_each_of_service(std::string_view service, Visitor&& visit) const
        requires(Row::kind == row_kind::service) {
        const shard* rows = shards_[shard_index({service, {}})].get();
        if (rows == nullptr) {
            return;
        }
        for (auto row = lower_bound(*rows, {service, {}}); row != rows->end() && row->service == service;
             ++row) {
            visit(*row);
        }
    }

    /// All rows in the order of their keys. The pointers are valid until this store is changed or destroyed.
    [[nodiscard]] std::vector<const Row*> sorted() const {
        std::vector<const Row*> rows;
        rows.reserve(size_);
        for_each([&rows](const Row& row) { rows.push_back(&row); });
        std::sort(rows.begin(), rows.end(),
                  [](const Row* left, const Row* right) { return left->key() < right->key(); });
        return rows;
    }

    /// Applies changes. The last of several changes to one key takes effect.
    void apply(std::vector<change> changes) {
        std::stable_sort(changes.begin(), changes.end(), [](const change& left, const change& right) {
            const auto a = shard_index(left.row.key());
            const auto b = shard_index(right.row.key());
            return a != b ? a < b : left.row.key() < right.row.key();
        });
        for (auto first = changes.begin(); first != changes.end();) {
            const std::size_t index = shard_index(first->row.key());
            const auto last = std::find_if(
                first, changes.end(), [index](const change& c) { return shard_index(c.row.key()) != index; });
            merge_shard(index, first, last);
            first = last;
        }
    }

    /// Calls the visitor with the row before (or null) and the row after (or null) for each key that differs.
    /// Skips shared shards.
    template <typename Visitor>
    static void for_each_difference(const row_store& before, const row_store& after, Visitor&& visit) {
        static const shard empty_shard;
        for (std::size_t i = 0; i < shard_count; ++i) {
            if (before.shards_[i] != after.shards_[i]) {
                compare_shards(before.shards_[i] ? *before.shards_[i] : empty_shard,
                               after.shards_[i] ? *after.shards_[i] : empty_shard, visit);
            }
        }
    }

private:
    using shard = std::vector<Row>;

    // With 320,000 account rows a shard has 625 rows, about 50 KB to copy for one changed row.
    static constexpr std::size_t shard_count = 512;

    static std::size_t shard_index(row_key key) {
        const auto seed = Row::kind == row_kind::service ? 0 : stable_hash(key.second);
        return stable_hash(key.first, seed) % shard_count;
    }

    static auto lower_bound(const shard& rows, row_key key) {
        return std::lower_bound(rows.begin(), rows.end(), key,
                                [](const Row& row, row_key wanted_key) { return row.key() < wanted_key; });
    }

    template <typename Iterator>
    void merge_shard(std::size_t index, Iterator first, Iterator last) {
        static const shard empty_shard;
        const shard& old_rows = shards_[index] ? *shards_[index] : empty_shard;
        auto merged = std::make_shared<shard>();
        merged->reserve(old_rows.size() + static_cast<std::size_t>(std::distance(first, last)));
        auto old_row = old_rows.begin();
        for (; first != last; ++first) {
            const row_key key = first->row.key();
            const auto next = std::next(first);
            if (next != last && next->row.key() == key) {
                continue;
            }
            for (; old_row != old_rows.end() && old_row->key() < key; ++old_row) {
                merged->push_back(*old_row);
            }
            if (old_row != old_rows.end() && old_row->key() == key) {
                ++old_row;
            }
            if (!first->remove) {
                merged->push_back(std::move(first->row));
            }
        }
        merged->insert(merged->end(), old_row, old_rows.end());
        size_ = size_ - old_rows.size() + merged->size();
        merged->shrink_to_fit();
        shards_[index] = std::move(merged);
    }

    template <typename Visitor>
    static void compare_shards(const shard& before, const shard& after, Visitor& visit) {
        auto old_row = before.begin();
        auto new_row = after.begin();
        while (old_row != before.end() || new_row != after.end()) {
            if (new_row == after.end() || (old_row != before.end() && old_row->key() < new_row->key())) {
                visit(&*old_row++, static_cast<const Row*>(nullptr));
            } else if (old_row == before.end() || new_row->key() < old_row->key()) {
                visit(static_cast<const Row*>(nullptr), &*new_row++);
            } else {
                if (!(*old_row == *new_row)) {
                    visit(&*old_row, &*new_row);
                }
                ++old_row;
                ++new_row;
            }
        }
    }

    std::array<std::shared_ptr<const shard>, shard_count> shards_;
    std::size_t size_ = 0;
};

}  // namespace teaselpitch
