/** The stored records of duties, from a scan and the changes since then. Invalid records are never acted on. */
import type { Environment, KeyValue, Parsed, WatchEvent } from '@millring/state-access';
import { type Duty, isDuty } from './duty.js';
import {
  HOLDERS_PREFIX,
  HOLDS_PREFIX,
  type HolderRecord,
  type HoldRecord,
  INTENTS_PREFIX,
  type Intent,
  MEMBERS_PREFIX,
  type MemberRecord,
  TOKENS_PREFIX,
  type TokenRecord,
  parseHold,
  parseHolder,
  parseIntent,
  parseMember,
  parseToken,
} from './records.js';

/** A stored value with its version, for preconditions. */
export interface Versioned<T> {
  value: T;
  version: number;
}

/**
 * The record stored under one key. `unreadable`: it exists, but this build does not understand it, and its controller
 * must not replace it. An operator's command may remove it.
 */
export type Entry<T> =
  | { kind: 'absent' }
  | { kind: 'unreadable'; version: number }
  | ({ kind: 'present' } & Versioned<T>);

const ABSENT = { kind: 'absent' } as const;

/** The records of one kind, indexed by the part of the key after the prefix. */
class RecordSection<T> {
  private readonly entries = new Map<string, Entry<T>>();

  constructor(
    readonly prefix: string,
    private readonly parse: (value: unknown) => Parsed<T>,
  ) {}

  get(name: string): Entry<T> {
    return this.entries.get(name) ?? ABSENT;
  }

  *present(): Iterable<[string, Versioned<T>]> {
    for (const [name, entry] of this.entries) if (entry.kind === 'present') yield [name, entry];
  }

  unreadable(): string[] {
    return [...this.entries]
      .filter(([, entry]) => entry.kind === 'unreadable')
      .map(([name]) => name);
  }

  /** Stores a record. Returns null, or the reason why the record is invalid. */
  put(name: string, value: unknown, version: number): string | null {
    const parsed = this.parse(value);
    if (parsed.kind === 'valid') {
      this.entries.set(name, { kind: 'present', value: parsed.value, version });
      return null;
    }
    this.entries.set(name, { kind: 'unreadable', version });
    return parsed.reason;
  }

  remove(name: string): void {
    this.entries.delete(name);
  }

  clear(): void {
    this.entries.clear();
  }
}

/** A cache of the stored records, read by all components of a member. `RecordWatch` keeps it up to date. */
export class DutiesView {
  private readonly holderSection = new RecordSection<HolderRecord>(HOLDERS_PREFIX, parseHolder);
  private readonly tokenSection = new RecordSection<TokenRecord>(TOKENS_PREFIX, parseToken);
  private readonly holdSection = new RecordSection<HoldRecord>(HOLDS_PREFIX, parseHold);
  private readonly memberSection = new RecordSection<MemberRecord>(MEMBERS_PREFIX, parseMember);
  private readonly intentSection = new RecordSection<Intent>(INTENTS_PREFIX, parseIntent);
  private readonly sections = [
    this.holderSection,
    this.tokenSection,
    this.holdSection,
    this.memberSection,
    this.intentSection,
  ];
  private readonly loggedRecords = new Set<string>();
  private revision = -1;

  constructor(private readonly log: Pick<Environment['log'], 'error'>) {}

  /** Revision up to which the view contains all changes; -1 before the first scan. */
  knownRevision(): number {
    return this.revision;
  }

  /** The holder of the duty. */
  holder(duty: Duty): Entry<HolderRecord> {
    return this.holderSection.get(duty);
  }

  /** The duty's latest fencing token. */
  token(duty: Duty): Entry<TokenRecord> {
    return this.tokenSection.get(duty);
  }

  /** An operator's hold on the duty. */
  hold(duty: Duty): Entry<HoldRecord> {
    return this.holdSection.get(duty);
  }

  /** The controller processes that take part, each with the name of its controller. */
  members(): Iterable<[string, Versioned<MemberRecord>]> {
    return this.memberSection.present();
  }

  /** The intent with this id, open or resolved. */
  intent(id: string): Entry<Intent> {
    return this.intentSection.get(id);
  }

  /** Whether the intent is stored and has no outcome yet. */
  isOpen(id: string): boolean {
    const entry = this.intent(id);
    return entry.kind === 'present' && entry.value.outcome === null;
  }

  /** All valid intents, in the order in which they became known. */
  intents(): Iterable<[string, Versioned<Intent>]> {
    return this.intentSection.present();
  }

  /** The keys of all records that this build does not understand. */
  unreadable(): string[] {
    return this.sections.flatMap((section) =>
      section.unreadable().map((name) => section.prefix + name),
    );
  }

  /** Replaces the contents of the view. */
  load(pairs: Iterable<KeyValue>, revision: number): void {
    for (const section of this.sections) section.clear();
    for (const { key, value, version } of pairs) this.put(key, value, version);
    this.revision = revision;
  }

  /** Applies changes in the order of their revisions. */
  apply(events: Iterable<WatchEvent>, revision: number): void {
    for (const { key, value, version, deleted } of events) {
      if (deleted) this.remove(key);
      else this.put(key, value, version);
    }
    this.revision = Math.max(this.revision, revision);
  }

  private sectionOf(key: string): RecordSection<unknown> | undefined {
    return this.sections.find((section) => key.startsWith(section.prefix));
  }

  private put(key: string, value: unknown, version: number): void {
    const section = this.sectionOf(key);
    const name = section ? key.slice(section.prefix.length) : key;
    const reason = section ? section.put(name, value, version) : 'unknown kind of record';
    if (reason !== null) this.logOnce(key, version, reason);
    else if (section && this.hasUnknownDuty(section, name))
      this.logOnce(key, version, 'unknown duty');
  }

  private hasUnknownDuty(section: RecordSection<unknown>, name: string): boolean {
    const sectionsByDuty: unknown[] = [this.holderSection, this.tokenSection, this.holdSection];
    return sectionsByDuty.includes(section) && !isDuty(name);
  }

  private remove(key: string): void {
    const section = this.sectionOf(key);
    section?.remove(key.slice(section.prefix.length));
  }

  private logOnce(key: string, version: number, reason: string): void {
    const subject = `${key}@${version}`;
    if (this.loggedRecords.has(subject)) return;
    this.loggedRecords.add(subject);
    this.log.error({ key, reason }, 'ignoring an invalid or unknown duty record');
  }
}
