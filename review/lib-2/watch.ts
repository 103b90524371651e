/** Records what the cloud is asked and what the machines run. */
import { HEARTBEAT_PATH } from '../../test/sim/wire/workers.js';
import type { Deployment } from './deployment.js';
import type { Record } from './record.js';

/** With more starts and exits than this, the record counts them by second instead of naming each. */
const MAX_NAMED = 200;
const COUNT_INTERVAL_MS = 1000;

/** Records events by name, or counts them. */
class Events {
  private named = 0;
  private readonly counts = new Map<string, number>();

  constructor(private readonly record: Record) {
    setInterval(() => {
      this.flush();
    }, COUNT_INTERVAL_MS).unref();
  }

  add(task: string, event: string): void {
    if (this.named++ < MAX_NAMED) this.record.add(`task ${task} ${event}`);
    else this.count(`tasks: ${event}`);
  }

  count(event: string): void {
    this.counts.set(event, (this.counts.get(event) ?? 0) + 1);
  }

  private flush(): void {
    for (const [event, count] of this.counts) this.record.add(`${count} ${event}`);
    this.counts.clear();
  }
}

/** Records starts and exits of tasks, reports that get 400, and rentals and deletions of machines. */
export function watchServices({ services }: Deployment, record: Record): void {
  const { invariants, cloud } = services;
  const tasks = new Events(record);
  const taskStarted = invariants.taskStarted.bind(invariants);
  const taskLeft = invariants.taskLeft.bind(invariants);
  invariants.taskStarted = (task, place) => {
    tasks.add(task, `starts on ${place.machine} in zone ${place.zone}`);
    taskStarted(task, place);
  };
  invariants.taskLeft = (task, machine, done) => {
    tasks.add(task, `${done ? 'is done' : 'is gone'} on ${machine}`);
    taskLeft(task, machine, done);
  };
  const sendToController = services.sendToController.bind(services);
  services.sendToController = async (address, method, path, body) => {
    const response = await sendToController(address, method, path, body);
    if (path === HEARTBEAT_PATH && response.status === 400) tasks.count('reports get 400');
    return response;
  };
  const handle = cloud.handle.bind(cloud);
  cloud.handle = (path, body) => {
    const response = handle(path, body);
    const isList = path.startsWith('/machines?') || path === '/catalog';
    if (!isList)
      record.add(
        `cloud ${path} ${JSON.stringify(body)}: ${response.status} ${JSON.stringify(response.body)}`,
      );
    return response;
  };
}
