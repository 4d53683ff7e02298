#include "transport/read_turns.h"

#include <stddef.h>

static void append(struct read_turns *turns, struct read_turn *turn)
{
	turn->waits = true;
	turn->since_us = turns->now_us;
	turn->previous = turns->last;
	turn->next = NULL;
	if (turns->last)
		turns->last->next = turn;
	else
		turns->first = turn;
	turns->last = turn;
	turns->waiting++;
}

static void remove_turn(struct read_turns *turns, struct read_turn *turn)
{
	if (turn->previous)
		turn->previous->next = turn->next;
	else
		turns->first = turn->next;
	if (turn->next)
		turn->next->previous = turn->previous;
	else
		turns->last = turn->previous;
	turn->waits = false;
	turns->waiting--;
}

void read_turns_begin(struct read_turns *turns, uint32_t count, int64_t now_us)
{
	turns->now_us = now_us;
	turns->left = count;
	while (turns->left && turns->first) {
		turns->first->granted = true;
		remove_turn(turns, turns->first);
		turns->left--;
	}
}

bool read_turns_take(struct read_turns *turns, struct read_turn *turn)
{
	if (turn->granted) {
		turn->granted = false;
		return true;
	}
	if (turn->waits)
		return false;
	if (turns->left) {
		turns->left--;
		return true;
	}
	append(turns, turn);
	return false;
}

void read_turns_forget(struct read_turns *turns, struct read_turn *turn)
{
	turn->granted = false;
	if (turn->waits)
		remove_turn(turns, turn);
}

int64_t read_turns_longest_wait_us(const struct read_turns *turns)
{
	return turns->first ? turns->now_us - turns->first->since_us : 0;
}
