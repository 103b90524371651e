/** Ports for the controllers. Runs side by side get ranges of their own by `FIRST_PORT`. */
import { type AddressInfo, createServer } from 'node:net';

const FIRST_PORT = Number(process.env.FIRST_PORT ?? 20_000);
const PORTS = 500;
const usedPorts = new Set<number>();

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, '127.0.0.1', () => {
      const isBound = (server.address() as AddressInfo).port === port;
      server.close(() => {
        resolve(isBound);
      });
    });
  });
}

/** Returns a port of the range that is not in use; never the same twice. */
export async function freePort(): Promise<number> {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
    if (usedPorts.has(port) || !(await isFree(port))) continue;
    usedPorts.add(port);
    return port;
  }
}
