(import 'coordinators.libsonnet')(1)
