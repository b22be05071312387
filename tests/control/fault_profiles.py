"""How often drawn plays take each step."""

# How often each step is drawn, by the kind of faults that a play is about.
PROFILES = {
    "power": {
        "submit": 50,
        "lose_power": 4,
    },
    "pages": {
        "submit": 50,
        "drop_history": 4,
        "drop_history_at_append": 6,
        "hand_over": 4,
        "isolate_owner": 2,
        "kill_owner_at_append": 3,
    },
    "cuts": {
        "submit": 50,
        "cut_worker": 4,
        "cut_zone": 3,
        "isolate_owner": 3,
        "hand_over": 2,
        "kill_owner_at_append": 2,
        "lose_starts": 2,
        "lose_holds": 3,
        "restart_worker": 2,
        "split_gang": 5,
    },
    "mixed": {
        "submit": 40,
        "cut_worker": 2,
        "cut_zone": 2,
        "hand_over": 2,
        "isolate_owner": 1,
        "break_ledger": 3,
        "drop_history": 1,
        "lose_starts": 1,
        "lose_holds": 2,
        "restart_worker": 1,
        "cancel": 1,
        "lose_power": 1,
        "kill_owner_at_append": 2,
    },
}
