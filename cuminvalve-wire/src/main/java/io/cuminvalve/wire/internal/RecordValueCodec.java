package io.cuminvalve.wire.internal;

import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import org.msgpack.core.MessagePacker;

/**
 * Encodes a record as the array of its components, and a record with one component as that
 * component alone.
 *
 * @since 0.1
 */
final class RecordValueCodec implements ValueCodec {

  private final Constructor<?> constructor;
  private final Method[] accessors;
  private final ValueCodec[] codecs;

  private RecordValueCodec(Constructor<?> constructor, Method[] accessors, ValueCodec[] codecs) {
    this.constructor = constructor;
    this.accessors = accessors;
    this.codecs = codecs;
  }

  static RecordValueCodec create(Class<?> type, ValueCodecs all) {
    RecordComponent[] components = type.getRecordComponents();
    Class<?>[] types =
        Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
    Method[] accessors =
        Arrays.stream(components).map(RecordComponent::getAccessor).toArray(Method[]::new);
    ValueCodec[] codecs =
        Arrays.stream(components)
            .map(component -> all.forType(component.getGenericType()))
            .toArray(ValueCodec[]::new);
    try {
      return new RecordValueCodec(type.getConstructor(types), accessors, codecs);
    } catch (NoSuchMethodException hidden) {
      throw new CodedException(
          ErrorCode.INTERNAL, type.getName() + " has no public constructor", hidden);
    }
  }

  @Override
  public void write(MessagePacker packer, Object value) throws IOException {
    if (codecs.length != 1) {
      packer.packArrayHeader(codecs.length);
    }
    for (int i = 0; i < codecs.length; i++) {
      codecs[i].write(packer, component(value, accessors[i]));
    }
  }

  @Override
  public Object read(ValueReader reader) throws IOException {
    int count = codecs.length == 1 ? 1 : reader.readArrayHeader();
    Object[] components = new Object[codecs.length];
    for (int i = 0; i < codecs.length; i++) {
      components[i] = i < count ? codecs[i].read(reader) : missing(i);
    }
    for (int i = codecs.length; i < count; i++) {
      reader.skip();
    }
    return construct(components);
  }

  private Object missing(int index) {
    Object value = codecs[index].missing();
    if (value == null) {
      throw new CodedException(
          ErrorCode.PROTOCOL, "mandatory component is missing: " + accessors[index].getName());
    }
    return value;
  }

  private static Object component(Object value, Method accessor) {
    try {
      Object component = accessor.invoke(value);
      if (component == null) {
        throw new CodedException(ErrorCode.INTERNAL, "component is null: " + accessor.getName());
      }
      return component;
    } catch (IllegalAccessException | InvocationTargetException failure) {
      throw new CodedException(
          ErrorCode.INTERNAL, "cannot read component: " + accessor.getName(), failure);
    }
  }

  private Object construct(Object[] components) {
    try {
      return constructor.newInstance(components);
    } catch (InvocationTargetException refused) {
      throw new CodedException(
          ErrorCode.PROTOCOL, "invalid values: " + refused.getCause().getMessage(), refused);
    } catch (InstantiationException | IllegalAccessException failure) {
      throw new CodedException(ErrorCode.INTERNAL, "cannot create record", failure);
    }
  }
}
