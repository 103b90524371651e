/** Which controller should hold which duty: pure functions, with hysteresis against flapping. */
import { DUTIES, type Duty } from './duty.js';

/** A member as duties are assigned to it. */
export interface MemberView {
  name: string;
  /** It has been there for long enough to be relied on. */
  settled: boolean;
  isLeader: boolean;
  /** The duties that it may hold. */
  duties: readonly Duty[];
  /** How many duties it holds. */
  heldCount: number;
}

/** The leader has other work, which counts as this many duties. */
const LEADER_LOAD_IN_DUTIES = 2;
/** Gives each candidate the time to acquire a duty before the next one tries. */
const DELAY_PER_RANK_MS = 400;
/** Moving a duty costs a pause, so it must make the spread better by more than one duty. */
const MIN_LOAD_DIFFERENCE = 2;

function loadOf(member: MemberView): number {
  return member.heldCount + (member.isLeader ? LEADER_LOAD_IN_DUTIES : 0);
}

/** Settled members first, then the least loaded ones; ties in an order that differs from duty to duty. */
function rankCandidates(duty: Duty, members: readonly MemberView[]): MemberView[] {
  const offset = DUTIES.indexOf(duty);
  const eligible = members.filter((member) => member.duties.includes(duty));
  const names = eligible.map((member) => member.name).sort();
  const position = (member: MemberView): number =>
    (names.indexOf(member.name) + offset) % names.length;
  return eligible.sort(
    (a, b) =>
      Number(b.settled) - Number(a.settled) || loadOf(a) - loadOf(b) || position(a) - position(b),
  );
}

/**
 * How long a controller waits from a vacancy on before it acquires the duty. All members may see a vacancy at once;
 * those that are less suited come later, and find it taken. One that is not settled also waits `settleMs`, unless
 * nobody is settled.
 */
export function acquisitionDelayMs(
  duty: Duty,
  self: string,
  members: readonly MemberView[],
  settleMs: number,
): number {
  const ranked = rankCandidates(duty, members);
  const rank = ranked.findIndex((member) => member.name === self);
  const own = ranked.at(rank);
  if (rank < 0 || !own) return settleMs;
  const anySettled = ranked.some((member) => member.settled);
  return rank * DELAY_PER_RANK_MS + (own.settled || !anySettled ? 0 : settleMs);
}

/** A duty that `self` should hand over for the sake of an even spread, or null. */
export function dutyToHandOver(
  self: string,
  held: readonly Duty[],
  members: readonly MemberView[],
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
