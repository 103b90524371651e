/** The controller's program as one file, as it is deployed. */
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
