/** Pure functions that decide which controller should hold which duty, with hysteresis against flapping. */
import { DUTIES, type Duty } from './duty.js';

/** The properties of a member that the assignment of duties depends on. */
export interface MemberStatus {
  name: string;
  /** Whether it has been a member for long enough to be considered reliable. */
  settled: boolean;
  isLeader: boolean;
  /** The duties that it may hold. */
  duties: readonly Duty[];
  /** Number of duties that it holds. */
  heldCount: number;
}

/** Load of the leader's other work, expressed as a number of duties. */
const LEADER_LOAD_IN_DUTIES = 2;
/** Delay between successive candidates, so that each has time to acquire a duty before the next one tries. */
const DELAY_PER_RANK_MS = 400;
/**
 * Smallest difference in load, in duties, at which a duty is moved. With a difference of 1, a move would only swap the
 * two loads, and the duty pauses during a move.
 */
const MIN_LOAD_DIFFERENCE = 2;

function loadOf(member: MemberStatus): number {
  return member.heldCount + (member.isLeader ? LEADER_LOAD_IN_DUTIES : 0);
}

/**
 * Sorts the members that may hold the duty: settled members first, then by ascending load. The order of members that
 * tie differs between duties.
 */
function rankCandidates(duty: Duty, members: readonly MemberStatus[]): MemberStatus[] {
  const offset = DUTIES.indexOf(duty);
  const eligible = members.filter((member) => member.duties.includes(duty));
  const names = eligible.map((member) => member.name).sort();
  const position = (member: MemberStatus): number =>
    (names.indexOf(member.name) + offset) % names.length;
  return eligible.sort(
    (a, b) =>
      Number(b.settled) - Number(a.settled) || loadOf(a) - loadOf(b) || position(a) - position(b),
  );
}

/**
 * Returns the time in milliseconds that a controller waits after a duty became vacant before it acquires the duty. All
 * members may see a vacancy at once; those with a lower rank wait longer and find the duty held by another member. A
 * member that is not settled additionally waits `settleMs`, unless no candidate is settled.
 */
export function acquisitionDelayMs(
  duty: Duty,
  self: string,
  members: readonly MemberStatus[],
  settleMs: number,
): number {
  const ranked = rankCandidates(duty, members);
  const rank = ranked.findIndex((member) => member.name === self);
  const own = ranked.at(rank);
  if (rank < 0 || !own) return settleMs;
  const anySettled = ranked.some((member) => member.settled);
  return rank * DELAY_PER_RANK_MS + (own.settled || !anySettled ? 0 : settleMs);
}

/** Returns a duty that `self` should hand over to balance the load between the members, or null if there is none. */
export function dutyToHandOver(
  self: string,
  held: readonly Duty[],
  members: readonly MemberStatus[],
): Duty | null {
  const own = members.find((member) => member.name === self);
  if (!own || held.length === 0) return null;
  const others = members.filter((member) => member.name !== self && member.settled);
  for (const duty of held) {
    const eligible = others.filter((member) => member.duties.includes(duty));
    if (loadOf(own) - Math.min(...eligible.map(loadOf)) >= MIN_LOAD_DIFFERENCE) return duty;
  }
  return null;
}
