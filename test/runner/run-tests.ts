/** Runs all tests, prints the known failures, and exits with 1 if there is any other problem. */
import { readFileSync, readdirSync } from 'node:fs';
import { join, relative, sep } from 'node:path';
import { pipeline } from 'node:stream/promises';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';
import { type TestResult, evaluateResults, parseKnownFailures } from './known-red.js';

const KNOWN_RED_FILE = 'KNOWN-RED.txt';
const BUILD_FOLDER = 'target';
const TEST_SUFFIX = '.test.js';

/** Paths of the compiled test files of the service and of each package. */
function testFiles(root: string): string[] {
  const packages = readdirSync(join(root, 'packages')).map((name) => join(root, 'packages', name));
  return [root, ...packages].flatMap((base) => {
    const folder = join(base, BUILD_FOLDER, 'test');
    return filesIn(folder).filter((file) => file.endsWith(TEST_SUFFIX));
  });
}

function filesIn(folder: string): string[] {
  try {
    return readdirSync(folder).map((name) => join(folder, name));
  } catch (error) {
    // The package has no tests.
    if ((error as NodeJS.ErrnoException).code === 'ENOENT') return [];
    throw error;
  }
}

/** Returns the path of the source file of a compiled test, in the form that KNOWN-RED.txt uses. */
function sourceOf(root: string, builtFile: string): string {
  const parts = relative(root, builtFile).split(sep);
  return parts
    .filter((part) => part !== BUILD_FOLDER)
    .join('/')
    .replace(/\.js$/, '.ts');
}

async function runAll(root: string): Promise<TestResult[]> {
  const results: TestResult[] = [];
  const events = run({ files: testFiles(root), concurrency: true });
  const addResult = (
    event: { name: string; nesting: number; file?: string },
    passed: boolean,
  ): void => {
    if (event.nesting === 0)
      results.push({ test: `${sourceOf(root, event.file ?? '?')} > ${event.name}`, passed });
  };
  events.on('test:pass', (event) => {
    addResult(event, true);
  });
  events.on('test:fail', (event) => {
    addResult(event, false);
  });
  await pipeline(events, new spec(), process.stdout, { end: false });
  return results;
}

async function main(): Promise<number> {
  const root = process.cwd();
  const list = parseKnownFailures(readFileSync(join(root, KNOWN_RED_FILE), 'utf8'));
  if (list.kind === 'malformed') {
    process.stderr.write(`${KNOWN_RED_FILE}:${list.line}: ${list.reason}\n`);
    return 1;
  }
  const verdict = evaluateResults(await runAll(root), list.entries);
  for (const { test, command, observed, issue } of verdict.knownFailures)
    process.stdout.write(`known red: ${test} (${observed}; ${command}; ${issue})\n`);
  for (const problem of verdict.problems) process.stdout.write(`${problem}\n`);
  return verdict.problems.length === 0 ? 0 : 1;
}

process.exitCode = await main();
