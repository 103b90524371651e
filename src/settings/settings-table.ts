/** Typed access to the fields of a TOML table, with errors that name the invalid field. */

/** Thrown for an invalid settings file. The message names the invalid field. */
export class SettingsError extends Error {}

type Values = Record<string, unknown>;

/** A table of a settings file, with its path in the file for error messages. */
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

  /** Returns a table within this one. */
  table(field: string): SettingsTable {
    return toTable(this.values[field], this.pathOf(field));
  }

  /** Returns a list of tables, which is empty if the field is missing. */
  tables(field: string): SettingsTable[] {
    const value = this.values[field];
    const path = this.pathOf(field);
    if (value === undefined) return [];
    if (!Array.isArray(value)) throw new SettingsError(`${path}: must be a list of tables`);
    return value.map((entry, i) => toTable(entry, `${path}[${i}]`));
  }

  /** Returns a non-empty string. */
  string(field: string): string {
    const value = this.values[field];
    if (typeof value !== 'string' || value === '')
      throw new SettingsError(`${this.pathOf(field)}: must be a non-empty string`);
    return value;
  }

  /** Returns a string, or null if the field is missing or of another type. */
  stringOrNull(field: string): string | null {
    const value = this.values[field];
    return typeof value === 'string' ? value : null;
  }

  /** Returns an address in the form `HOST:PORT`. */
  address(field: string): string {
    const value = this.string(field);
    const port = Number(/^[^:\s]+:(\d{1,5})$/.exec(value)?.[1]);
    if (!(port > 0 && port < 65536))
      throw new SettingsError(`${this.pathOf(field)}: must be HOST:PORT`);
    return value;
  }

  /** Returns a finite number of at least `min`. */
  number(field: string, min: number): number {
    const raw = this.values[field];
    const value = typeof raw === 'bigint' ? Number(raw) : raw;
    if (typeof value !== 'number' || !Number.isFinite(value) || value < min)
      throw new SettingsError(`${this.pathOf(field)}: must be a number of at least ${min}`);
    return value;
  }

  /** Returns a number, or null if the field is missing or of another type. */
  numberOrNull(field: string): number | null {
    const value = this.values[field];
    return typeof value === 'number' ? value : null;
  }

  /** Returns a number of at least `min`, or `fallback` if the field is not set. */
  optionalNumber(field: string, min: number, fallback: number): number {
    return this.has(field) ? this.number(field, min) : fallback;
  }
}

function toTable(value: unknown, path: string): SettingsTable {
  if (typeof value !== 'object' || value === null || Array.isArray(value))
    throw new SettingsError(`${path}: must be a table`);
  return new SettingsTable(value as Values, path);
}
