/** Bundles the controller's program into a single file, the form in which it is deployed. */
import { type Plugin, build as bundle } from 'esbuild';

/** Writes the bundle to `outfile`. */
export async function bundleController(outfile: string, plugins: Plugin[] = []): Promise<void> {
  await bundle({
    entryPoints: ['src/main.ts'],
    bundle: true,
    platform: 'node',
    format: 'cjs',
    conditions: ['source'],
    logLevel: 'error',
    outfile,
    plugins,
  });
}
