/** Typed access to the fields of a TOML table, with errors that name the field at fault. */

/** Thrown for a settings file that can't be used; the message names the field at fault. */
export class SettingsError extends Error {}

type Values = Record<string, unknown>;

/** A table and its place in the file. */
export class SettingsTable {
  /** `path` is empty for the file's root. */
  constructor(
    private readonly values: Values,
    private readonly path = '',
  ) {}

  private pathOf(field: string): string {
    return this.path === '' ? field : `${this.path}.${field}`;
  }

  /** Whether the field is set. */
  has(field: string): boolean {
    return this.values[field] !== undefined;
  }

  /** A table within this one. */
  table(field: string): SettingsTable {
    return toTable(this.values[field], this.pathOf(field));
  }

  /** A list of tables, empty if the field is missing. */
  tables(field: string): SettingsTable[] {
    const value = this.values[field];
    const path = this.pathOf(field);
    if (value === undefined) return [];
    if (!Array.isArray(value)) throw new SettingsError(`${path}: must be a list of tables`);
    return value.map((entry, i) => toTable(entry, `${path}[${i}]`));
  }

  /** A text that is not empty. */
  text(field: string): string {
    const value = this.values[field];
    if (typeof value !== 'string' || value === '')
      throw new SettingsError(`${this.pathOf(field)}: must be a text`);
    return value;
  }

  /** A text, or null if the field is anything else. */
  textOrNull(field: string): string | null {
    const value = this.values[field];
    return typeof value === 'string' ? value : null;
  }

  /** An address in the form `HOST:PORT`. */
  address(field: string): string {
    const value = this.text(field);
    const port = Number(/^[^:\s]+:(\d{1,5})$/.exec(value)?.[1]);
    if (!(port > 0 && port < 65536))
      throw new SettingsError(`${this.pathOf(field)}: must be HOST:PORT`);
    return value;
  }

  /** A finite number of at least `min`. */
  number(field: string, min: number): number {
    const raw = this.values[field];
    const value = typeof raw === 'bigint' ? Number(raw) : raw;
    if (typeof value !== 'number' || !Number.isFinite(value) || value < min)
      throw new SettingsError(`${this.pathOf(field)}: must be a number of at least ${min}`);
    return value;
  }

  /** A number, or null if the field is anything else. */
  numberOrNull(field: string): number | null {
    const value = this.values[field];
    return typeof value === 'number' ? value : null;
  }

  /** A number of at least `min`, or `missing` if the field is not set. */
  optionalNumber(field: string, min: number, fallback: number): number {
    return this.has(field) ? this.number(field, min) : fallback;
  }
}

function toTable(value: unknown, path: string): SettingsTable {
  if (typeof value !== 'object' || value === null || Array.isArray(value))
    throw new SettingsError(`${path}: table is missing`);
  return new SettingsTable(value as Values, path);
}
